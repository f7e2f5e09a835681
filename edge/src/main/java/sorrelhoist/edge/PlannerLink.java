package sorrelhoist.edge;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.Routing.ListForm;
import sorrelhoist.Routing.Load;
import sorrelhoist.Routing.Outcome;
import sorrelhoist.Routing.ServerState;
import sorrelhoist.core.know.LearnPlan;
import sorrelhoist.core.life.Command;
import sorrelhoist.core.life.PlannerCommands;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.core.time.Backoff;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.net.Net;
import sorrelhoist.protocol.plan.EdgeMessage;
import sorrelhoist.protocol.plan.Hello;
import sorrelhoist.protocol.plan.Line;
import sorrelhoist.protocol.plan.PlanEvent;
import sorrelhoist.protocol.plan.ProbeAnswer;
import sorrelhoist.protocol.plan.Roster;
import sorrelhoist.protocol.protobuf.ProtoException;

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
    private static final ListForm[] FORMS = {
        ListForm.UPDATE, ListForm.COMPLETE, ListForm.UNAVAILABLE
    };

    private final RouterLoop loop;
    private final EngineTable table;
    private final GrpcChannel channel;
    private final EdgeSettings settings;
    private final long incarnation;
    private final Consumer<List<LearnPlan.Peer>> peers;
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
            Consumer<List<LearnPlan.Peer>> peers) {
        this.firstRoster = firstRoster;
        this.peers = peers;
        this.settings = settings;
        this.incarnation = incarnation;
        this.loop = loop;
        this.table = table;
        this.channel = new GrpcChannel(network, settings.planner(), GrpcChannel.Options.PLAIN);
        this.backoff = new Backoff(FIRST_WAIT, LONGEST_WAIT, settings.seed() ^ incarnation);
    }

    void start(int port) {
        hello = new Hello(settings.name(), settings.zone(), incarnation, Net.LOOPBACK + ":" + port);
        channel.loop().execute(this::attach);
    }

    private void attach() {
        if (!stopped) {
            call = channel.call(PlanEvent.ATTACH, null, this);
            call.send(new EdgeMessage.Greeting(hello).bytes());
            channel.start(call);
        }
    }

    void stop() {
        channel.loop()
                .execute(
                        () -> {
                            stopped = true;
                            channel.shut();
                        });
    }

    @Override
    public void probe(Command.Probe command) {
        send(new EdgeMessage.ProbeAsk(command.engine()));
    }

    @Override
    public void tell(Command.Tell command) {
        send(new EdgeMessage.Tell(command.to(), command.body()));
    }

    @Override
    public void fetchRoster(Command.FetchRoster command) {
        send(new EdgeMessage.FetchAsk());
    }

    private void send(EdgeMessage message) {
        channel.loop()
                .execute(
                        () -> {
                            if (call != null && call.isSent() && !call.isClosed()) {
                                call.send(message.bytes());
                            }
                        });
    }

    @Override
    public void message(ClientCall c, byte[] message, int wireBytes) {
        c.credit(wireBytes);
        backoff.worked();
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
        if (event.seat() != null && event.seat().routers() > 0) {
            LOG.atInfo()
                    .addKeyValue("event", "seated")
                    .addKeyValue("routers", event.seat().routers())
                    .addKeyValue("self", event.seat().self())
                    .log("seat");
            loop.post(r -> r.seated(loop.now(), event.seat().routers(), event.seat().self()));
        } else if (event.roster() != null) {
            loop.post(r -> roster(event.roster()));
        } else if (event.probe() != null) {
            ProbeAnswer p = event.probe();
            Load load =
                    p.answered()
                            ? new Load(p.memoryShare(), p.waitingTokens(), p.held(), p.queued())
                            : Load.NONE;
            loop.post(
                    r ->
                            r.probeAnswered(
                                    loop.now(),
                                    p.engine(),
                                    p.answered() ? Outcome.DONE : Outcome.TIMED_OUT,
                                    p.tookMicros(),
                                    load));
        } else if (event.peers() != null) {
            peers.accept(
                    event.peers().peers().stream()
                            .map(p -> new LearnPlan.Peer(p.edge(), p.zone(), p.address()))
                            .toList());
        } else if (event.news() != null) {
            loop.post(r -> r.peerMessage(loop.now(), event.news().from(), event.news().body()));
        }
    }

    private void roster(Roster roster) {
        if (roster.form() < 0 || roster.form() >= FORMS.length) {
            return;
        }
        List<EngineTable.Entry> entries = roster.lines().stream().map(PlannerLink::entry).toList();
        var servers = table.take(loop.now(), entries);
        table.complaints()
                .forEach(c -> LOG.atWarn().addKeyValue("event", "engine_left_out").log(c));
        LOG.atInfo()
                .addKeyValue("event", "roster")
                .addKeyValue("form", FORMS[roster.form()])
                .addKeyValue("lines", servers.size())
                .addKeyValue("epoch", roster.epoch())
                .addKeyValue("known_for_us", roster.knownForMicros())
                .log("roster");
        loop.members(FORMS[roster.form()], servers, loop.now());
        if (!servers.isEmpty()) {
            firstRoster.run();
            firstRoster = () -> {};
        }
    }

    private static EngineTable.Entry entry(Line l) {
        return new EngineTable.Entry(
                l.id(),
                l.zone(),
                l.rack(),
                l.kind(),
                STATES[Math.min(Math.max(0, l.state()), STATES.length - 1)],
                l.size(),
                l.incarnation(),
                l.upForMicros(),
                l.address());
    }

    @Override
    public void closed(ClientCall c, Status status, Headers trailers, ClientCall.End end) {
        if (stopped) {
            return;
        }
        long wait = backoff.failed();
        LOG.atWarn()
                .addKeyValue("event", "planner_away")
                .addKeyValue("retry_us", wait)
                .log("no stream to the planner: {}", status.message());
        channel.loop().schedule(this::attach, wait, TimeUnit.MICROSECONDS);
    }
}
