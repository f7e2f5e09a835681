package sorrelhoist.edge;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.core.request.Command;
import sorrelhoist.core.request.PlannerCommands;
import sorrelhoist.core.statetransfer.DonorSelection;
import sorrelhoist.core.time.Backoff;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.net.LoopbackTransport;
import sorrelhoist.protocol.plan.EdgeMessage;
import sorrelhoist.protocol.plan.Hello;
import sorrelhoist.protocol.plan.PlanEvent;
import sorrelhoist.protocol.plan.ProbeResult;
import sorrelhoist.protocol.plan.Roster;
import sorrelhoist.protocol.plan.RosterEntry;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.routing.Routing.ListUpdateKind;
import sorrelhoist.routing.Routing.Outcome;
import sorrelhoist.routing.Routing.ServerLoad;
import sorrelhoist.routing.Routing.ServerState;

/**
 * The edge's stream to its planner. While there is none, the edge goes on with what it was last
 * told.
 */
final class PlannerLink implements ClientCall.Listener, PlannerCommands {
    private static final Logger LOG = LoggerFactory.getLogger(PlannerLink.class);
    private static final long FIRST_WAIT = 50_000;
    private static final long LONGEST_WAIT = 1_000_000;
    private static final ServerState[] STATES = {
        ServerState.SERVING, ServerState.DRAINING, ServerState.GONE
    };
    private static final ListUpdateKind[] FORMS = {
        ListUpdateKind.UPDATE, ListUpdateKind.COMPLETE, ListUpdateKind.UNAVAILABLE
    };

    private final RouterLoop loop;
    private final EngineTable table;
    private final GrpcChannel channel;
    private final EdgeSettings settings;
    private final long incarnation;
    private final Consumer<List<DonorSelection.Donor>> peers;
    private Hello hello;
    private final Backoff backoff;
    private ClientCall call;
    private boolean stopped;
    private Runnable firstRoster;

    PlannerLink(
            EdgeSettings settings,
            long incarnation,
            RouterLoop loop,
            EngineTable table,
            EventLoop network,
            Runnable firstRoster,
            Consumer<List<DonorSelection.Donor>> peers) {
        this.firstRoster = firstRoster;
        this.peers = peers;
        this.settings = settings;
        this.incarnation = incarnation;
        this.loop = loop;
        this.table = table;
        this.channel = new GrpcChannel(network, settings.planner(), GrpcChannel.Options.BACKGROUND);
        this.backoff = new Backoff(FIRST_WAIT, LONGEST_WAIT, settings.seed() ^ incarnation);
    }

    void start(int port) {
        hello =
                new Hello(
                        settings.name(),
                        settings.zone(),
                        incarnation,
                        LoopbackTransport.LOOPBACK + ":" + port);
        channel.loop().execute(this::attach);
    }

    private void attach() {
        if (!stopped) {
            call = channel.newCall(PlanEvent.ATTACH, null, this);
            call.send(new EdgeMessage.Handshake(hello).toByteArray());
            channel.start(call);
        }
    }

    void stop() {
        channel.loop()
                .execute(
                        () -> {
                            stopped = true;
                            channel.shutdown();
                        });
    }

    @Override
    public void probeEngine(Command.ProbeEngine command) {
        send(new EdgeMessage.ProbeRequest(command.engine()));
    }

    @Override
    public void sendPeerMessage(Command.SendPeerMessage command) {
        send(new EdgeMessage.RelayRequest(command.recipient(), command.body()));
    }

    @Override
    public void fetchEndpointList(Command.FetchEndpointList command) {
        send(new EdgeMessage.RosterRequest());
    }

    private void send(EdgeMessage message) {
        channel.loop()
                .execute(
                        () -> {
                            if (call != null && call.isSent() && !call.isClosed()) {
                                call.send(message.toByteArray());
                            }
                        });
    }

    @Override
    public void onMessage(ClientCall c, byte[] message, int wireBytes) {
        c.consumeBytes(wireBytes);
        backoff.reset();
        PlanEvent event;
        try {
            event = PlanEvent.parse(message);
        } catch (ProtoException e) {
            LOG.atWarn()
                    .addKeyValue("event", "bad_plan")
                    .log("the planner sent what is no message: {}", e.getMessage());
            c.cancel();
            return;
        }
        if (event.slot() != null && event.slot().replicaCount() > 0) {
            LOG.atInfo()
                    .addKeyValue("event", "seated")
                    .addKeyValue("routers", event.slot().replicaCount())
                    .addKeyValue("self", event.slot().index())
                    .log("seat");
            loop.post(
                    r ->
                            r.routerCountChanged(
                                    loop.now(), event.slot().replicaCount(), event.slot().index()));
        } else if (event.roster() != null) {
            loop.post(r -> roster(event.roster()));
        } else if (event.probe() != null) {
            ProbeResult p = event.probe();
            ServerLoad load =
                    p.answered()
                            ? new ServerLoad(
                                    p.memoryUtilization(),
                                    p.queuedTokens(),
                                    p.inFlightRequests(),
                                    p.queuedRequests())
                            : ServerLoad.NONE;
            loop.post(
                    r ->
                            r.probeCompleted(
                                    loop.now(),
                                    p.engine(),
                                    p.answered() ? Outcome.DONE : Outcome.TIMED_OUT,
                                    p.latencyMicros(),
                                    load));
        } else if (event.peers() != null) {
            peers.accept(
                    event.peers().peers().stream()
                            .map(p -> new DonorSelection.Donor(p.edge(), p.zone(), p.address()))
                            .toList());
        } else if (event.peerMessage() != null) {
            loop.post(
                    r ->
                            r.peerMessageReceived(
                                    loop.now(),
                                    event.peerMessage().sender(),
                                    event.peerMessage().body()));
        }
    }

    private void roster(Roster roster) {
        if (roster.form() < 0 || roster.form() >= FORMS.length) {
            return;
        }
        List<EngineTable.ListedEngine> entries =
                roster.entries().stream().map(PlannerLink::entry).toList();
        var servers = table.update(loop.now(), entries);
        table.warnings().forEach(c -> LOG.atWarn().addKeyValue("event", "engine_left_out").log(c));
        LOG.atInfo()
                .addKeyValue("event", "roster")
                .addKeyValue("form", FORMS[roster.form()])
                .addKeyValue("lines", servers.size())
                .addKeyValue("epoch", roster.epoch())
                .addKeyValue("known_for_us", roster.ageMicros())
                .log("roster");
        loop.members(FORMS[roster.form()], servers, loop.now());
        if (!servers.isEmpty()) {
            firstRoster.run();
            firstRoster = () -> {};
        }
    }

    private static EngineTable.ListedEngine entry(RosterEntry l) {
        return new EngineTable.ListedEngine(
                l.id(),
                l.zone(),
                l.rack(),
                l.kind(),
                STATES[Math.min(Math.max(0, l.state()), STATES.length - 1)],
                l.size(),
                l.incarnation(),
                l.uptimeMicros(),
                l.address());
    }

    @Override
    public void onClose(ClientCall c, Status status, Headers trailers, ClientCall.Termination end) {
        if (stopped) {
            return;
        }
        long wait = backoff.nextDelayMicros();
        LOG.atWarn()
                .addKeyValue("event", "planner_away")
                .addKeyValue("retry_us", wait)
                .log("no stream to the planner: {}", status.message());
        channel.loop().schedule(this::attach, wait, TimeUnit.MICROSECONDS);
    }
}
