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
 * An edge process: wires up the client listener, the router's event loop, the connections to
 * engines, the stream to the planner and the background tasks. Thread-safe.
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
     * Creates an edge without tracing. {@link #start} starts it.
     *
     * @param settings the edge's settings
     */
    public Edge(EdgeSettings settings) {
        this(settings, null);
    }

    /**
     * Creates an edge. {@link #start} starts it.
     *
     * @param settings the edge's settings
     * @param telemetry receives the trace spans; null to disable tracing
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

    /**
     * Starts the tasks that import knowledge about engines, which requires that the engines are
     * listed. Called on the router's thread after the first endpoint list with engines.
     */
    private void enginesListed() {
        persistence.ifPresent(PersistenceTask::restoreAndStart);
        stateTransfer.ifPresent(StateTransferTask::ready);
    }

    /**
     * Starts to listen for clients, and connects to the planner.
     *
     * @return this
     * @throws IOException if listening on the port fails
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
                .log("edge is listening for clients");
        return this;
    }

    /** Returns the port on which the edge serves clients. */
    public int port() {
        return LoopbackTransport.localPort(listener);
    }

    /**
     * Returns the number of requests without a final result, as of the last event that the router
     * handled.
     */
    public int openRequests() {
        return router.openRequests();
    }

    /** Returns true once an endpoint list has been received. */
    public boolean isReady() {
        return router.isReady();
    }

    /**
     * Returns whether an engine accepts requests, according to the latest endpoint list.
     *
     * @param engine the engine's id
     */
    public EngineServingState servingState(String engine) {
        return router.servingState(engine);
    }

    /**
     * Returns this edge's knowledge about engines and prefixes, exported on the router's thread.
     */
    public CompletableFuture<Knowledge> knowledge() {
        CompletableFuture<Knowledge> result = new CompletableFuture<>();
        router.execute(r -> result.complete(router.knowledge(Integer.MAX_VALUE)));
        return result;
    }

    /**
     * Numbers of requests, attempts and reservations that an edge holds at one moment.
     *
     * @param openRequests requests without a final result
     * @param knownRequests requests that the routing policy tracks, including ended ones
     * @param runningAttempts attempts without an outcome
     * @param wantedReservations reservations that have not been released
     * @param attemptsInFlight calls to engines for attempts whose end has not been seen
     */
    public record Usage(
            int openRequests,
            int knownRequests,
            int runningAttempts,
            int wantedReservations,
            int attemptsInFlight) {
        /** The usage of an idle edge. */
        public static final Usage IDLE = new Usage(0, 0, 0, 0, 0);
    }

    /** Returns this edge's current usage, for tests. */
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
                .log("client connection closed: {}", reason);
    }

    /**
     * Shuts down gracefully: rejects new requests, waits up to the drain time for running
     * responses, fails the requests that are left, then stops. Blocks.
     *
     * @param endWait polled during the wait; true ends the wait for running responses
     */
    public void drain(BooleanSupplier endWait) {
        draining = true;
        LOG.atInfo()
                .addKeyValue("event", "draining")
                .addKeyValue("open", openRequests())
                .log("edge is draining");
        router.execute(Router::startDraining);
        clients.forEach(c -> c.executor().execute(c::shutdownGracefully));
        awaitUntil(
                () -> router.openRequests() == 0 || endWait.getAsBoolean(),
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

    /** Stops immediately, without waiting for running responses. Later calls have no effect. */
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
