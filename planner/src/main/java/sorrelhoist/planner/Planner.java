package sorrelhoist.planner;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.members.EndpointTracker;
import sorrelhoist.core.members.EngineTable;
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
import sorrelhoist.protocol.plan.Roster;
import sorrelhoist.protocol.plan.RosterEntry;

/**
 * A planner: reads the registry, numbers the edges, keeps each told, probes for them and passes on
 * what they tell each other. Everything runs on one event loop; what it decides stands in {@code
 * core.members}.
 */
public final class Planner {
    private static final Logger LOG = LoggerFactory.getLogger(Planner.class);
    private static final long SEAT_LOOK_MILLIS = 1000;
    private static final int MAX_TELL = 256;
    private final PlannerSettings settings;
    private final EventLoopGroup loops = LoopbackTransport.newEventLoops(1, "planner");
    private final EventLoop loop = loops.next();
    private final EndpointTracker book;
    private final ReplicaSlots seats;
    private final RegistryClient registry;
    private final Prober prober;
    private final Map<String, EdgeSession> sessions = new LinkedHashMap<>();
    private Channel listener;
    private boolean known;
    private boolean stopped;
    private long epoch;
    private String lastTrouble = "";

    /**
     * Makes a planner; {@link #start} starts it.
     *
     * @param settings what it is told
     */
    public Planner(PlannerSettings settings) {
        this.settings = settings;
        this.book = new EndpointTracker(settings.doubtMs() * 1000);
        this.seats = new ReplicaSlots(settings.edges(), settings.seatMs() * 1000);
        this.registry =
                new RegistryClient(
                        loop,
                        settings.registry(),
                        settings.app(),
                        settings.registryTimeoutMs() * 1000);
        this.prober =
                new Prober(loop, book, settings.probeTimeoutMs() * 1000, settings.probesAtOnce());
    }

    /** Listens and reads. {@return this} */
    public Planner start() throws IOException {
        GrpcServer server =
                new GrpcServer(1 << 20)
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
        loop.execute(this::poll);
        loop.scheduleAtFixedRate(
                this::lookAtSeats, SEAT_LOOK_MILLIS, SEAT_LOOK_MILLIS, TimeUnit.MILLISECONDS);
        LOG.atInfo()
                .addKeyValue("event", "started")
                .addKeyValue("port", port())
                .log("planner listens");
        return this;
    }

    /** {@return the port on which edges are told} */
    public int port() {
        return LoopbackTransport.localPort(listener);
    }

    /** Stops; edges go on with what they were told. */
    public void stop() {
        loop.execute(
                () -> {
                    stopped = true;
                    prober.stop();
                    listener.close();
                    each(s -> s.close(new Status(StatusCode.UNAVAILABLE, "the planner stops")));
                    loops.shutdownGracefully(100, 500, TimeUnit.MILLISECONDS);
                });
    }

    private static long now() {
        return System.currentTimeMillis() * 1000;
    }

    // ---- The registry
    // -------------------------------------------------------------------------------------

    private void poll() {
        if (stopped) {
            return;
        }
        registry.fetch()
                .whenComplete(
                        (list, trouble) -> {
                            if (trouble == null) {
                                take(list);
                            } else {
                                Throwable cause =
                                        trouble.getCause() == null ? trouble : trouble.getCause();
                                say("registry_away", String.valueOf(cause.getMessage()));
                            }
                            if (!stopped) {
                                loop.schedule(this::poll, settings.pollMs(), TimeUnit.MILLISECONDS);
                            }
                        });
    }

    /** Says a lasting trouble once. */
    private void say(String event, String trouble) {
        if (!trouble.equals(lastTrouble)) {
            lastTrouble = trouble;
            LOG.atWarn().addKeyValue("event", event).log(trouble);
        }
    }

    private void take(List<RegistryView.Instance> list) {
        List<EndpointTracker.TrackedEndpoint> changed = book.update(now(), list);
        if (book.warnings().isEmpty()) {
            lastTrouble = "";
        } else {
            say("roster_trouble", String.join("; ", book.warnings()));
        }
        if (!known) {
            known = true;
            each(this::sendRoster);
        } else if (!changed.isEmpty()) {
            PlanEvent update = PlanEvent.of(roster(Roster.UPDATE, changed));
            each(s -> s.send(update));
        }
        changed.forEach(
                l ->
                        LOG.atInfo()
                                .addKeyValue("event", "engine")
                                .addKeyValue("engine", l.entry().id())
                                .addKeyValue("state", l.entry().state())
                                .log("roster changed"));
    }

    private Roster roster(int form, List<EndpointTracker.TrackedEndpoint> lines) {
        long now = now();
        long learned =
                lines.stream()
                        .mapToLong(EndpointTracker.TrackedEndpoint::learnedAt)
                        .max()
                        .orElse(now);
        return new Roster(
                form,
                lines.stream().map(l -> line(l, now)).toList(),
                book.epoch(),
                form == Roster.UPDATE ? Math.max(0, now - learned) : 0);
    }

    private static RosterEntry line(EndpointTracker.TrackedEndpoint l, long now) {
        EngineTable.ListedEngine e = l.entry();
        long up =
                e.incarnation() > 0 ? Math.max(0, now - e.incarnation() * 1000) : e.uptimeMicros();
        return new RosterEntry(
                e.id(),
                e.zone(),
                e.rack(),
                e.kind(),
                e.state().ordinal(),
                e.size(),
                e.incarnation(),
                up,
                e.address());
    }

    // ---- The edges
    // ----------------------------------------------------------------------------------------

    /** Sending may cut a session off, so the list is a copy. */
    private void each(Consumer<EdgeSession> what) {
        List.copyOf(sessions.values()).forEach(what);
    }

    void attached(EdgeSession session) {
        EdgeSession before = sessions.put(session.edge(), session);
        if (before != null) {
            before.close(new Status(StatusCode.ABORTED, "the edge attached anew"));
            sessions.put(session.edge(), session);
        }
        seats.join(session.edge());
        LOG.atInfo()
                .addKeyValue("event", "edge_attached")
                .addKeyValue("edge", session.edge())
                .log("edge attached");
        tellSeats();
        // Before the registry was read there is no roster: a list of none would stop every edge.
        if (known) {
            sendRoster(session);
        }
    }

    void sendRoster(EdgeSession session) {
        if (known) {
            session.send(PlanEvent.of(roster(Roster.COMPLETE, book.endpoints())));
        } else {
            session.send(PlanEvent.of(new Roster(Roster.UNAVAILABLE, List.of(), 0, 0)));
        }
    }

    void left(EdgeSession session) {
        if (sessions.remove(session.edge(), session)) {
            seats.leave(now(), session.edge());
        }
    }

    private void lookAtSeats() {
        if (seats.expireLeases(now())) {
            tellSeats();
        }
    }

    private void tellSeats() {
        epoch++;
        each(
                s -> {
                    s.send(
                            PlanEvent.of(
                                    new PeerList(
                                            sessions.values().stream()
                                                    .filter(o -> o != s)
                                                    .map(EdgeSession::peer)
                                                    .filter(p -> !p.address().isEmpty())
                                                    .toList())));
                    ReplicaSlots.Slot seat = seats.slotOf(s.edge());
                    s.send(PlanEvent.of(new ReplicaSlot(seat.replicas(), seat.index(), epoch)));
                });
    }

    void probe(EdgeSession asker, String engine) {
        prober.probe(engine, answer -> asker.send(PlanEvent.of(answer)));
    }

    void tell(EdgeSession from, EdgeMessage.RelayRequest message) {
        if (message.body().length() > MAX_TELL) {
            return; // no edge of this project sends more
        }
        PlanEvent news =
                PlanEvent.of(new PeerMessage(seats.slotOf(from.edge()).index(), message.body()));
        if (message.recipient() >= 0) {
            EdgeSession to = sessions.get(String.valueOf(seats.edgeAt(message.recipient())));
            if (to != null) {
                to.send(news);
            }
        } else {
            each(
                    s -> {
                        if (s != from) {
                            s.send(news);
                        }
                    });
        }
    }
}
