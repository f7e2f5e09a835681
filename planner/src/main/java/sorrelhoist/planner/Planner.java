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
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.core.members.RegistryView;
import sorrelhoist.core.members.RosterBook;
import sorrelhoist.core.members.Seats;
import sorrelhoist.protocol.grpc.Code;
import sorrelhoist.protocol.grpc.GrpcServer;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Limits;
import sorrelhoist.protocol.net.Net;
import sorrelhoist.protocol.plan.EdgeMessage;
import sorrelhoist.protocol.plan.Line;
import sorrelhoist.protocol.plan.News;
import sorrelhoist.protocol.plan.Peers;
import sorrelhoist.protocol.plan.PlanEvent;
import sorrelhoist.protocol.plan.Roster;
import sorrelhoist.protocol.plan.Seat;

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
    private final EventLoopGroup loops = Net.loops(1, "planner");
    private final EventLoop loop = loops.next();
    private final RosterBook book;
    private final Seats seats;
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
        this.book = new RosterBook(settings.doubtMs() * 1000);
        this.seats = new Seats(settings.edges(), settings.seatMs() * 1000);
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
                new GrpcServer(1 << 20).on(PlanEvent.ATTACH, call -> new EdgeSession(this, call));
        listener =
                Net.listen(
                        loops,
                        settings.port(),
                        () ->
                                Http2Connection.server(
                                        Http2Limits.SERVER,
                                        server,
                                        new Http2Connection.Watcher() {}));
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
        return Net.port(listener);
    }

    /** Stops; edges go on with what they were told. */
    public void stop() {
        loop.execute(
                () -> {
                    stopped = true;
                    prober.stop();
                    listener.close();
                    each(s -> s.close(new Status(Code.UNAVAILABLE, "the planner stops")));
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
        List<RosterBook.Line> changed = book.take(now(), list);
        if (book.complaints().isEmpty()) {
            lastTrouble = "";
        } else {
            say("roster_trouble", String.join("; ", book.complaints()));
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

    private Roster roster(int form, List<RosterBook.Line> lines) {
        long now = now();
        long learned = lines.stream().mapToLong(RosterBook.Line::learnedAt).max().orElse(now);
        return new Roster(
                form,
                lines.stream().map(l -> line(l, now)).toList(),
                book.epoch(),
                form == Roster.UPDATE ? Math.max(0, now - learned) : 0);
    }

    private static Line line(RosterBook.Line l, long now) {
        EngineTable.Entry e = l.entry();
        long up = e.incarnation() > 0 ? Math.max(0, now - e.incarnation() * 1000) : e.upForMicros();
        return new Line(
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
            before.close(new Status(Code.ABORTED, "the edge attached anew"));
            sessions.put(session.edge(), session);
        }
        seats.attached(session.edge());
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
            session.send(PlanEvent.of(roster(Roster.COMPLETE, book.lines())));
        } else {
            session.send(PlanEvent.of(new Roster(Roster.UNAVAILABLE, List.of(), 0, 0)));
        }
    }

    void left(EdgeSession session) {
        if (sessions.remove(session.edge(), session)) {
            seats.left(now(), session.edge());
        }
    }

    private void lookAtSeats() {
        if (seats.expire(now())) {
            tellSeats();
        }
    }

    private void tellSeats() {
        epoch++;
        each(
                s -> {
                    s.send(
                            PlanEvent.of(
                                    new Peers(
                                            sessions.values().stream()
                                                    .filter(o -> o != s)
                                                    .map(EdgeSession::peer)
                                                    .filter(p -> !p.address().isEmpty())
                                                    .toList())));
                    Seats.Seat seat = seats.of(s.edge());
                    s.send(PlanEvent.of(new Seat(seat.routers(), seat.self(), epoch)));
                });
    }

    void probe(EdgeSession asker, String engine) {
        prober.probe(engine, answer -> asker.send(PlanEvent.of(answer)));
    }

    void tell(EdgeSession from, EdgeMessage.Tell message) {
        if (message.body().length() > MAX_TELL) {
            return; // no edge of this project sends more
        }
        PlanEvent news = PlanEvent.of(new News(seats.of(from.edge()).self(), message.body()));
        if (message.to() >= 0) {
            EdgeSession to = sessions.get(String.valueOf(seats.at(message.to())));
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
