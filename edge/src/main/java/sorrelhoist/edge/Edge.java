package sorrelhoist.edge;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.opentelemetry.api.OpenTelemetry;
import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.core.request.Router;
import sorrelhoist.core.request.RouterSettings;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.GrpcServer;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Limits;
import sorrelhoist.protocol.net.LoopbackTransport;
import sorrelhoist.routing.Knowledge;

/**
 * An edge: the client listener, the router's event loop, the connections to engines, the stream to
 * the planner and the background tasks, put together. Thread-safe.
 */
public final class Edge implements Http2Connection.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Edge.class);
    private static final String NETWORK_THREAD_NAME = "edge-net";
    private static final int MESSAGE_OVERHEAD_BYTES = 64 << 10;
    private static final int MAX_ENGINE_MESSAGE_BYTES = 1 << 20;
    private static final long MICROS_PER_MILLI = 1000;
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final long CLOSE_TIMEOUT_MILLIS = 1000;
    private static final long NETWORK_STOP_TIMEOUT_MILLIS = 500;

    private final EdgeSettings settings;
    private final EventLoopGroup network;
    private final Tracing tracing;
    private final RouterEventLoop router;
    private final EngineConnections connections;
    private final EngineCommandHandler engines;
    private final PlannerClient planner;
    private final Optional<RecordingTask> recording;
    private final Optional<PersistenceTask> persistence;
    private final Optional<StateTransferTask> stateTransfer;
    private final Set<Http2Connection> clients = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private Channel listener;
    private volatile boolean draining;

    /**
     * Creates an edge that traces nothing; {@link #start} starts it.
     *
     * @param settings its settings
     */
    public Edge(EdgeSettings settings) {
        this(settings, null);
    }

    /**
     * Creates an edge; {@link #start} starts it.
     *
     * @param settings its settings
     * @param telemetry takes its trace spans; null for none
     */
    public Edge(EdgeSettings settings, OpenTelemetry telemetry) {
        this.settings = settings;
        this.tracing = new Tracing(telemetry);
        long incarnation = System.currentTimeMillis();
        network =
                LoopbackTransport.newEventLoops(settings.serving().threads(), NETWORK_THREAD_NAME);
        RouterSettings routerSettings = settings.router(incarnation);
        recording = RecordingTask.open(settings.record(), routerSettings);
        router =
                new RouterEventLoop(
                        routerSettings,
                        recording
                                .map(RecordingTask::decisionListener)
                                .orElse(DecisionListener.NONE));
        EngineTable engineTable = engineTable(settings);
        connections =
                new EngineConnections(network, engineTable, channelOptions(settings.serving()));
        engines = new EngineCommandHandler(settings.name(), router, connections, tracing);
        persistence = PersistenceTask.open(settings.pastFolder(), router, engineTable);
        stateTransfer =
                StateTransferTask.create(settings, router, engineTable, network, this::knowledge);
        PlanEventHandler planEvents =
                new PlanEventHandler(
                        router,
                        engineTable,
                        this::enginesListed,
                        donors -> stateTransfer.ifPresent(task -> task.donorsChanged(donors)));
        planner = new PlannerClient(settings, incarnation, network.next(), planEvents);
        router.connect(engines, planner);
    }

    private static EngineTable engineTable(EdgeSettings settings) {
        return new EngineTable(
                settings.zones(),
                settings.kinds().stream().map(EdgeSettings.KindSettings::name).toList());
    }

    private static GrpcChannel.Options channelOptions(EdgeSettings.ServingSettings serving) {
        return new GrpcChannel.Options(
                serving.connectionsPerEngine(),
                serving.dialMs() * MICROS_PER_MILLI,
                serving.idleMs() * MICROS_PER_MILLI,
                MAX_ENGINE_MESSAGE_BYTES,
                Http2Limits.CLIENT);
    }

    /** What is known of engines can only be taken once the engines are; on the router's thread. */
    private void enginesListed() {
        persistence.ifPresent(PersistenceTask::restoreAndStart);
        stateTransfer.ifPresent(StateTransferTask::ready);
    }

    /**
     * Listens for clients, and connects to the planner.
     *
     * @return this
     * @throws IOException if the port cannot be listened on
     */
    public Edge start() throws IOException {
        InferenceService service =
                new InferenceService(
                        settings, router, tracing, () -> router.isReady() && !draining);
        GrpcServer server =
                service.server(settings.serving().maxPromptBytes() + MESSAGE_OVERHEAD_BYTES);
        Http2Limits limits =
                Http2Limits.SERVER.withMaxStreams(settings.serving().streamsPerConnection());
        listener =
                LoopbackTransport.listen(
                        network,
                        settings.port(),
                        () -> Http2Connection.server(limits, server, this));
        stateTransfer.ifPresent(task -> task.start(server));
        recording.ifPresent(task -> task.start(router));
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

    /** {@return the number of requests without a final result, a moment ago} */
    public int openRequests() {
        return router.openRequests();
    }

    /** {@return whether an endpoint list was received} */
    public boolean isReady() {
        return router.isReady();
    }

    /**
     * {@return whether an engine serves, as this edge was last told}
     *
     * @param engine the engine's id
     */
    public EngineServingState servingState(String engine) {
        return router.servingState(engine);
    }

    /** {@return what this edge knows of engines and prefixes} */
    public CompletableFuture<Knowledge> knowledge() {
        CompletableFuture<Knowledge> result = new CompletableFuture<>();
        router.execute(r -> result.complete(router.knowledge(Integer.MAX_VALUE)));
        return result;
    }

    /**
     * What an edge holds at a moment.
     *
     * @param openRequests requests without a final result
     * @param knownRequests requests of which anything is known, ended ones too
     * @param runningAttempts attempts without an outcome
     * @param wantedReservations reservations that are not released
     * @param attemptsInFlight calls to engines for attempts
     */
    public record Usage(
            int openRequests,
            int knownRequests,
            int runningAttempts,
            int wantedReservations,
            int attemptsInFlight) {
        /** What an idle edge holds. */
        public static final Usage IDLE = new Usage(0, 0, 0, 0, 0);
    }

    /** {@return what this edge holds, for tests} */
    public CompletableFuture<Usage> usage() {
        CompletableFuture<Usage> result = new CompletableFuture<>();
        router.execute(
                r ->
                        result.complete(
                                new Usage(
                                        r.metrics().openRequests(),
                                        r.metrics().knownRequests(),
                                        r.metrics().runningAttempts(),
                                        r.metrics().wantedReservations(),
                                        engines.attemptsInFlight())));
        return result;
    }

    @Override
    public void onReady(Http2Connection connection) {
        clients.add(connection);
    }

    @Override
    public void onClosed(Http2Connection connection, String reason) {
        clients.remove(connection);
        LOG.atDebug()
                .addKeyValue("event", "client_closed")
                .log("a client's connection ended: {}", reason);
    }

    /**
     * Shuts down gracefully: takes no new requests, lets running answers end within their time,
     * then stops. Blocks.
     *
     * @param hurry polled meanwhile; true ends the wait
     */
    public void drain(BooleanSupplier hurry) {
        draining = true;
        LOG.atInfo()
                .addKeyValue("event", "draining")
                .addKeyValue("open", openRequests())
                .log("edge drains");
        router.execute(Router::startDraining);
        clients.forEach(c -> c.executor().execute(c::shutdownGracefully));
        awaitUntil(
                () -> router.openRequests() == 0 || hurry.getAsBoolean(),
                settings.serving().drainMs());
        router.execute(r -> r.failAllRequests(router.now(), "the edge stops"));
        awaitUntil(() -> router.openRequests() == 0 && clients.isEmpty(), CLOSE_TIMEOUT_MILLIS);
        stop();
    }

    private static void awaitUntil(BooleanSupplier condition, long timeoutMillis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            try {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
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
        stateTransfer.ifPresent(StateTransferTask::stop);
        planner.stop();
        connections.shutdown();
        persistence.ifPresent(PersistenceTask::stop);
        recording.ifPresent(task -> router.executeAndWait(() -> task.stop(router.now())));
        router.stop();
        network.shutdownGracefully(0, NETWORK_STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
