package sorrelhoist.edge;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.opentelemetry.api.OpenTelemetry;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.core.record.SegmentRetention;
import sorrelhoist.core.request.RouterSettings;
import sorrelhoist.core.scheduling.BackgroundScheduler;
import sorrelhoist.core.statetransfer.DonorSelection;
import sorrelhoist.core.statetransfer.MessageAuthenticator;
import sorrelhoist.core.statetransfer.ProcessIdentityTranslator;
import sorrelhoist.edge.past.FolderDisk;
import sorrelhoist.edge.past.PastWork;
import sorrelhoist.edge.record.RecordFolder;
import sorrelhoist.edge.record.RecordWork;
import sorrelhoist.edge.teach.Learner;
import sorrelhoist.edge.teach.Teacher;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.GrpcServer;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Limits;
import sorrelhoist.protocol.net.LoopbackTransport;
import sorrelhoist.routing.Knowledge;

/**
 * An edge: client listener, router, engine connections and the stream to the planner, put together.
 */
public final class Edge implements Http2Connection.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Edge.class);
    private static final int SEGMENTS = 8; // so that an eighth of the record goes at a time
    private static final long MINUTE = 60_000_000;
    private static final int MESSAGE_OVERHEAD = 64 << 10;
    private static final long LOOK_MILLIS = 20;
    private static final BackgroundScheduler.Job PAST =
            new BackgroundScheduler.Job("past", 1, 50_000, 16 << 20, 10_000_000);
    private static final BackgroundScheduler.Job RECORD =
            new BackgroundScheduler.Job("record", 3, 50_000, 64 << 20, 100_000);
    private static final BackgroundScheduler.Job TEACH =
            new BackgroundScheduler.Job("teach", 2, 30_000, 4 << 20, 5_000_000);
    private final EdgeSettings settings;
    private final EventLoopGroup network;
    private final RouterLoop loop;
    private final Engines engines;
    private final PlannerLink planner;
    private final Tracing tracing;
    private final PastWork past;
    private final RecordWork record;
    private final Teacher teacher;
    private final Learner learner;
    private final Set<Http2Connection> clients = ConcurrentHashMap.newKeySet();
    private Channel listener;
    private volatile boolean draining;
    private final AtomicBoolean stopped = new AtomicBoolean();

    /**
     * Makes an edge that traces nothing; {@link #start} starts it.
     *
     * @param settings what it is told
     */
    public Edge(EdgeSettings settings) {
        this(settings, null);
    }

    /**
     * Makes an edge; {@link #start} starts it.
     *
     * @param settings what it is told
     * @param telemetry takes its spans; null for none
     */
    public Edge(EdgeSettings settings, OpenTelemetry telemetry) {
        this.settings = settings;
        this.tracing = new Tracing(telemetry);
        EdgeSettings.ServingSettings s = settings.serving();
        long incarnation = System.currentTimeMillis();
        network = LoopbackTransport.newEventLoops(s.threads(), "edge-net");
        RouterSettings router = settings.router(incarnation);
        record =
                settings.record().folder().isEmpty() ? null : openRecord(settings.record(), router);
        loop = new RouterLoop(router, record == null ? DecisionListener.NONE : record.tap());
        EngineTable table =
                new EngineTable(
                        settings.zones(),
                        settings.kinds().stream().map(EdgeSettings.KindSettings::name).toList());
        engines =
                new Engines(
                        settings.name(),
                        loop,
                        network,
                        table,
                        new GrpcChannel.Options(
                                s.connectionsPerEngine(),
                                s.dialMs() * 1000,
                                s.idleMs() * 1000,
                                1 << 20,
                                Http2Limits.CLIENT),
                        tracing);
        past = settings.pastFolder().isEmpty() ? null : openPast(settings.pastFolder());
        // What is known of engines can only be taken once the engines themselves are.
        planner =
                new PlannerLink(
                        settings,
                        incarnation,
                        loop,
                        table,
                        network.next(),
                        () -> recall(table),
                        this::tellLearner);
        MessageAuthenticator seal =
                settings.teachKeys().isEmpty() ? null : seal(settings.teachKeys());
        teacher =
                seal == null
                        ? null
                        : new Teacher(
                                settings.name(),
                                seal,
                                most ->
                                        ProcessIdentityTranslator.toIncarnations(
                                                loop.known(most), table),
                                what -> loop.post(r -> what.run()),
                                () -> loop.due(TEACH));
        learner =
                seal == null
                        ? null
                        : new Learner(
                                settings.name(),
                                settings.zone(),
                                seal,
                                network.next(),
                                this::known,
                                k ->
                                        loop.post(
                                                r ->
                                                        loop.learn(
                                                                ProcessIdentityTranslator
                                                                        .toLocalStartTimes(
                                                                                k, table),
                                                                0)));
        loop.connect(engines, planner);
    }

    private static MessageAuthenticator seal(List<EdgeSettings.KeySettings> keys) {
        Map<String, String> secrets = new LinkedHashMap<>();
        keys.forEach(k -> secrets.put(k.id(), k.secret()));
        return new MessageAuthenticator(secrets);
    }

    private void tellLearner(List<DonorSelection.Donor> peers) {
        if (learner != null) {
            learner.peers(peers);
        }
    }

    private static RecordWork openRecord(EdgeSettings.RecordSettings s, RouterSettings router) {
        long bytes = (long) s.megabytes() << 20;
        SegmentRetention.Limits bounds =
                new SegmentRetention.Limits(
                        Math.max(1 << 20, bytes / SEGMENTS),
                        bytes,
                        s.minutes() * MINUTE,
                        (long) s.keptMegabytes() << 20);
        try {
            return new RecordWork(new RecordFolder(Path.of(s.folder())), bounds, router);
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("event", "record_unwritten")
                    .log(
                            "record.folder {} cannot be used, so nothing is " + "recorded: {}",
                            s.folder(),
                            e.toString());
            return null;
        }
    }

    /** Keeps the record that is there now, with a word why. */
    public void keepRecord(String why) {
        if (record != null) {
            loop.post(r -> record.keep(loop.now(), why));
        }
    }

    private PastWork openPast(String folder) {
        try {
            return new PastWork(new FolderDisk(Path.of(folder)), loop.now());
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("event", "past_unreadable")
                    .log("pastFolder {} cannot be used: {}", folder, e.toString());
            return null;
        }
    }

    /** Takes the own past, the newest first, and keeps it from then on; on the router's thread. */
    private void recall(EngineTable table) {
        if (past != null) {
            keepPast(table);
        }
        if (learner != null) {
            learner.ready();
        }
    }

    private void keepPast(EngineTable table) {
        past.restore(loop.now())
                .forEach(
                        m ->
                                loop.learn(
                                        ProcessIdentityTranslator.toLocalStartTimes(
                                                m.knowledge(), table),
                                        m.age()));
        loop.background(
                PAST,
                now -> {
                    int keys = past.keysDue(now);
                    if (keys > 0) {
                        past.write(
                                now,
                                ProcessIdentityTranslator.toIncarnations(loop.known(keys), table));
                    }
                    return past.nextAt();
                });
    }

    /** {@return what this edge knows, for tests} */
    public CompletableFuture<Knowledge> known() {
        CompletableFuture<Knowledge> result = new CompletableFuture<>();
        loop.post(r -> result.complete(loop.known(Integer.MAX_VALUE)));
        return result;
    }

    /** Listens, and looks for its planner. {@return this} */
    public Edge start() throws IOException {
        InferenceApi api =
                new InferenceApi(settings, loop, tracing, () -> loop.ready() && !draining);
        GrpcServer server = api.server(settings.serving().maxPromptBytes() + MESSAGE_OVERHEAD);
        Http2Limits limits =
                Http2Limits.SERVER.withMaxStreams(settings.serving().streamsPerConnection());
        listener =
                LoopbackTransport.listen(
                        network,
                        settings.port(),
                        () -> Http2Connection.server(limits, server, this));
        if (teacher != null) {
            server.addMethod(Teacher.TEACH, teacher::open);
            loop.background(
                    TEACH,
                    now -> {
                        long wait = teacher.slice(loop::moved);
                        return wait == Long.MAX_VALUE ? wait : now + wait;
                    });
        }
        if (record != null) {
            loop.background(RECORD, now -> record.slice(loop::moved) ? now : Long.MAX_VALUE);
            loop.post(r -> record.onDue(() -> loop.due(RECORD)));
        }
        planner.start(port());
        LOG.atInfo()
                .addKeyValue("event", "started")
                .addKeyValue("edge", settings.name())
                .addKeyValue("port", port())
                .log("edge listens");
        return this;
    }

    /** {@return the port on which clients are served} */
    public int port() {
        return LoopbackTransport.localPort(listener);
    }

    /** {@return requests without a final answer, a moment ago} */
    public int open() {
        return loop.open();
    }

    /** {@return whether a roster was heard of} */
    public boolean isReady() {
        return loop.ready();
    }

    /**
     * {@return whether an engine serves, as this edge was last told: 1, 0, or -1 for one that it
     * does not know}
     */
    public int serving(String engine) {
        return loop.serving(engine);
    }

    /** What is still held, for tests: open, known, out and held requests, and calls to engines. */
    public CompletableFuture<int[]> counts() {
        var result = new CompletableFuture<int[]>();
        loop.post(
                r ->
                        result.complete(
                                new int[] {
                                    r.metrics().openRequests(),
                                    r.metrics().knownRequests(),
                                    r.metrics().runningAttempts(),
                                    r.metrics().wantedReservations(),
                                    engines.flights()
                                }));
        return result;
    }

    @Override
    public void onReady(Http2Connection connection) {
        clients.add(connection);
    }

    @Override
    public void onClosed(Http2Connection connection, String why) {
        clients.remove(connection);
        LOG.atDebug()
                .addKeyValue("event", "client_closed")
                .log("a client's connection ended: {}", why);
    }

    /**
     * Ends in good order: takes no new requests, lets running answers end within their time, then
     * stops. Blocks.
     *
     * @param hurry asked again and again; true ends the wait
     */
    public void drain(java.util.function.BooleanSupplier hurry) {
        draining = true;
        LOG.atInfo()
                .addKeyValue("event", "draining")
                .addKeyValue("open", open())
                .log("edge drains");
        loop.post(sorrelhoist.core.request.Router::startDraining);
        clients.forEach(c -> c.executor().execute(c::shutdownGracefully));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.serving().drainMs());
        while (loop.open() > 0 && System.nanoTime() < end && !hurry.getAsBoolean()) {
            pause();
        }
        loop.post(r -> r.failAllRequests(loop.now(), "the edge stops"));
        long last = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
        while ((loop.open() > 0 || !clients.isEmpty()) && System.nanoTime() < last) {
            pause();
        }
        stop();
    }

    private static void pause() {
        try {
            Thread.sleep(LOOK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops at once. */
    public void stop() {
        if (stopped.getAndSet(true)) {
            return;
        }
        if (listener != null) {
            listener.close();
        }
        if (learner != null) {
            learner.stop();
        }
        planner.stop();
        engines.stop();
        if (past != null) {
            past.stop();
        }
        if (record != null) {
            loop.last(() -> record.stop(loop.now()));
        }
        loop.stop();
        network.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
    }
}
