package sorrelhoist.planner;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.members.EndpointTracker;
import sorrelhoist.core.members.RegistryView;
import sorrelhoist.core.members.ReplicaSlots;
import sorrelhoist.protocol.grpc.GrpcServer;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Limits;
import sorrelhoist.protocol.net.LoopbackTransport;
import sorrelhoist.protocol.plan.EdgeMessage;
import sorrelhoist.protocol.plan.PeerList;
import sorrelhoist.protocol.plan.PeerMessage;
import sorrelhoist.protocol.plan.PlanEvent;
import sorrelhoist.protocol.plan.ReplicaSlot;

/**
 * A planner process: reads the service registry, assigns replica slots to edges, sends them the
 * endpoint list, probes engines on their behalf and relays their messages to each other. All its
 * state belongs to one event loop.
 */
public final class Planner {
    private static final Logger LOG = LoggerFactory.getLogger(Planner.class);
    private static final long SLOT_CHECK_INTERVAL_MILLIS = 1000;
    private static final int MAX_RELAYED_LENGTH = 256;
    private static final int MAX_EDGE_MESSAGE_BYTES = 1 << 20;
    private static final long MICROS_PER_MILLI = 1000;
    private static final long STOP_QUIET_MILLIS = 100;
    private static final long STOP_TIMEOUT_MILLIS = 500;

    private final PlannerSettings settings;
    private final EventLoopGroup loops = LoopbackTransport.newEventLoops(1, "planner");
    private final EventLoop loop = loops.next();
    private final EndpointTracker endpoints;
    private final ReplicaSlots slots;
    private final RegistryPoller registry;
    private final EngineProber prober;
    private final EdgeSessions edges = new EdgeSessions();
    private final ProblemLog problems = new ProblemLog();
    private Channel listener;
    private boolean registryRead;
    private long slotEpoch;

    /**
     * Creates a planner. {@link #start} starts it.
     *
     * @param settings the planner's settings
     */
    public Planner(PlannerSettings settings) {
        this.settings = settings;
        this.endpoints = new EndpointTracker(settings.doubtMs() * MICROS_PER_MILLI);
        this.slots = new ReplicaSlots(settings.edges(), settings.seatMs() * MICROS_PER_MILLI);
        RegistryClient client =
                new RegistryClient(
                        loop,
                        settings.registry(),
                        settings.app(),
                        settings.registryTimeoutMs() * MICROS_PER_MILLI);
        this.registry =
                new RegistryPoller(
                        loop, client, settings.pollMs(), this::instancesListed, problems);
        this.prober =
                new EngineProber(
                        loop,
                        endpoints,
                        settings.probeTimeoutMs() * MICROS_PER_MILLI,
                        settings.probesAtOnce());
    }

    /**
     * Starts to listen for edges, and to poll the registry.
     *
     * @return this
     * @throws IOException if listening on the port fails
     */
    public Planner start() throws IOException {
        GrpcServer server =
                new GrpcServer(MAX_EDGE_MESSAGE_BYTES)
                        .addMethod(PlanEvent.ATTACH, call -> new EdgeSession(this, call));
        listener =
                LoopbackTransport.listen(
                        loops,
                        settings.port(),
                        () ->
                                Http2Connection.server(
                                        Http2Limits.SERVER,
                                        server,
                                        new Http2Connection.Listener() {}));
        loop.execute(registry::poll);
        loop.scheduleAtFixedRate(
                this::expireSlots,
                SLOT_CHECK_INTERVAL_MILLIS,
                SLOT_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        LOG.atInfo()
                .addKeyValue("event", "started")
                .addKeyValue("port", port())
                .log("planner is listening for edges");
        return this;
    }

    /** Returns the port on which the planner serves edges. */
    public int port() {
        return LoopbackTransport.localPort(listener);
    }

    /** Stops the planner. Edges continue with the latest data that they received. */
    public void stop() {
        loop.execute(
                () -> {
                    registry.stop();
                    prober.stop();
                    listener.close();
                    Status stopping = new Status(StatusCode.UNAVAILABLE, "the planner stops");
                    edges.forEach(session -> session.close(stopping));
                    loops.shutdownGracefully(
                            STOP_QUIET_MILLIS, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                });
    }

    private static long nowMicros() {
        return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    }

    private void instancesListed(List<RegistryView.Instance> instances) {
        List<EndpointTracker.TrackedEndpoint> changed = endpoints.update(nowMicros(), instances);
        if (endpoints.warnings().isEmpty()) {
            problems.clear();
        } else {
            problems.report("endpoint_list_warning", String.join("; ", endpoints.warnings()));
        }
        if (!registryRead) {
            registryRead = true;
            edges.forEach(this::sendRoster);
        } else if (!changed.isEmpty()) {
            edges.broadcast(RosterEncoder.update(changed, endpoints.epoch(), nowMicros()));
        }
        changed.forEach(Planner::logChange);
    }

    private static void logChange(EndpointTracker.TrackedEndpoint endpoint) {
        LOG.atInfo()
                .addKeyValue("event", "endpoint_changed")
                .addKeyValue("engine", endpoint.engine().id())
                .addKeyValue("state", endpoint.engine().state())
                .log("endpoint changed");
    }

    /** Registers an edge that has sent its hello message, and sends it the current state. */
    void edgeAttached(EdgeSession session) {
        EdgeSession former = edges.add(session);
        if (former != null) {
            former.close(new Status(StatusCode.ABORTED, "the edge attached anew"));
            edges.add(session);
        }
        slots.join(session.edge());
        LOG.atInfo()
                .addKeyValue("event", "edge_attached")
                .addKeyValue("edge", session.edge())
                .log("edge attached");
        sendSlots();
        // Until the registry was read there is no list to send. An empty one would stop every edge.
        if (registryRead) {
            sendRoster(session);
        }
    }

    /** Removes an edge whose stream has ended. */
    void edgeDetached(EdgeSession session) {
        if (edges.remove(session)) {
            slots.leave(nowMicros(), session.edge());
        }
    }

    /** Sends an edge the complete endpoint list, or the notice that the list is unavailable. */
    void sendRoster(EdgeSession session) {
        session.send(
                registryRead
                        ? RosterEncoder.complete(endpoints, nowMicros())
                        : RosterEncoder.unavailable());
    }

    private void expireSlots() {
        if (slots.expireLeases(nowMicros())) {
            sendSlots();
        }
    }

    private void sendSlots() {
        slotEpoch++;
        edges.forEach(
                session -> {
                    session.send(PlanEvent.of(new PeerList(edges.peersOf(session))));
                    ReplicaSlots.Slot slot = slots.slotOf(session.edge());
                    session.send(
                            PlanEvent.of(
                                    new ReplicaSlot(slot.replicas(), slot.index(), slotEpoch)));
                });
    }

    /** Probes an engine on behalf of an edge, and sends it the result. */
    void probe(EdgeSession session, String engine) {
        prober.probe(engine, result -> session.send(PlanEvent.of(result)));
    }

    /** Relays an edge's message to another edge, or to all others. */
    void relay(EdgeSession sender, EdgeMessage.RelayRequest request) {
        if (request.body().length() > MAX_RELAYED_LENGTH) {
            return; // edges of this project never send a longer message
        }
        int senderIndex = slots.slotOf(sender.edge()).index();
        PlanEvent message = PlanEvent.of(new PeerMessage(senderIndex, request.body()));
        if (request.recipient() >= 0) {
            EdgeSession recipient =
                    edges.sessionOf(String.valueOf(slots.routerAt(request.recipient())));
            if (recipient != null) {
                recipient.send(message);
            }
            return;
        }
        edges.forEach(
                session -> {
                    if (session != sender) {
                        session.send(message);
                    }
                });
    }
}
