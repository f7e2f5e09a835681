package sorrelhoist.app;

import io.netty.channel.EventLoopGroup;
import io.opentelemetry.api.OpenTelemetry;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import sorrelhoist.edge.Edge;
import sorrelhoist.edge.EdgeSettings;
import sorrelhoist.lab.load.InferenceClient;
import sorrelhoist.planner.Planner;
import sorrelhoist.planner.PlannerSettings;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.net.LoopbackTransport;
import sorrelhoist.standin.engine.EngineControl;
import sorrelhoist.standin.engine.EngineSettings;
import sorrelhoist.standin.engine.EngineStandIn;
import sorrelhoist.standin.registry.RegistryStandIn;

/**
 * A complete fleet inside the test's process. Its parts communicate over loopback sockets, as they
 * do in separate processes.
 */
final class LocalFleet implements AutoCloseable {
    static final String MODEL = "sorrel";
    private static final long POLL_INTERVAL_NANOS =
            1_000_000; // nanoseconds between polls: busy waiting would starve the awaited code
    private static final long MAX_WAIT_MILLIS = 60_000;
    final EventLoopGroup loops = LoopbackTransport.newEventLoops(2, "fleet");
    private final Path traces;
    final RegistryStandIn registry;
    Planner planner;
    final int plannerPort;
    String past = "";
    String record = "";
    List<EdgeSettings.KeySettings> keys = List.of();
    final Map<String, EngineStandIn> engines = new LinkedHashMap<>();
    final List<Edge> edges = new ArrayList<>();
    private final List<EventLoopGroup> all = new ArrayList<>();

    LocalFleet(int readers, int writers, int edgeCount) throws IOException {
        this(readers, writers, edgeCount, true);
    }

    LocalFleet(int readers, int writers, int edgeCount, boolean resumes) throws IOException {
        this(readers, writers, edgeCount, resumes, null, null);
    }

    LocalFleet(
            int readers,
            int writers,
            int edgeCount,
            boolean resumes,
            Path traces,
            OpenTelemetry telemetry)
            throws IOException {
        this.traces = traces;
        registry =
                new RegistryStandIn(
                                new RegistryStandIn.Settings(
                                        0, 200_000, 30_000_000, trace("registry")),
                                loops)
                        .start();
        planner = new Planner(plannerSettings(0)).start();
        plannerPort = planner.port();
        for (int i = 1; i <= readers; i++) {
            engine("r" + i, "read", "rack" + (i % 2), 0);
        }
        for (int i = 1; i <= writers; i++) {
            engine("w" + i, "write", "rack" + (i % 2), 0);
        }
        for (int i = 1; i <= edgeCount; i++) {
            edges.add(new Edge(edgeSettings("edge-" + i, resumes), telemetry).start());
        }
        await(
                "the edges to know the engines",
                () -> edges.stream().allMatch(Edge::isReady) && knowsAll());
    }

    private String trace(String name) {
        return traces == null ? "" : traces.resolve(name + ".jsonl").toString();
    }

    private boolean knowsAll() {
        return edges.isEmpty() || InferenceProbe.served(this, 0);
    }

    PlannerSettings plannerSettings(int port) {
        return new PlannerSettings(
                port,
                LoopbackTransport.LOOPBACK + ":" + registry.port(),
                "ENGINES",
                1,
                50,
                1000,
                3000,
                5000,
                500,
                16);
    }

    EngineStandIn engine(String id, String role, String rack, int slots) throws IOException {
        EventLoopGroup own = LoopbackTransport.newEventLoops(1, id);
        all.add(own);
        EngineStandIn engine =
                new EngineStandIn(
                        new EngineSettings(
                                id,
                                role.equals("read") ? "prefill" : "decode",
                                role,
                                "a",
                                rack,
                                0,
                                LoopbackTransport.LOOPBACK + ":" + registry.port(),
                                200_000,
                                1_000_000,
                                slots == 0 ? 64 : slots,
                                slots == 0 ? 128 : 0,
                                200_000,
                                100_000,
                                500_000,
                                1_000,
                                20,
                                2048,
                                5_000_000,
                                2_000_000,
                                false,
                                true,
                                0.3,
                                2_000_000,
                                3,
                                3_000_000,
                                100,
                                2_000_000,
                                trace(id),
                                7),
                        own);
        engine.onCrash(engine::kill);
        engines.put(id, engine.start());
        return engine;
    }

    EdgeSettings edgeSettings(String name, boolean resumes) {
        return new EdgeSettings(
                name,
                "a",
                List.of("a"),
                0,
                LoopbackTransport.LOOPBACK + ":" + plannerPort,
                MODEL,
                1,
                List.of(
                        new EdgeSettings.ClassSettings(
                                "chat", 1000, 40, 4000, 80, 1, "safe", "all", 0),
                        new EdgeSettings.ClassSettings(
                                "order", 1000, 40, 4000, 80, 1, "unsafe", "all", 0)),
                List.of(),
                List.of(
                        new EdgeSettings.KindSettings("prefill", "read", 200_000),
                        new EdgeSettings.KindSettings("decode", "write", 200_000)),
                new EdgeSettings.LimitSettings(
                        6, true, true, true, 2000, false, true, 0.003, 0.003, "outcomes", 0.1),
                new EdgeSettings.RuleSettings(0.26, 2000, 3, 3000, 500),
                new EdgeSettings.ServingSettings(
                        200, resumes, 1500, 10_000, 64, 4096, 1 << 20, 2, 4, 250, 30_000, 1000,
                        2000),
                0,
                past,
                keys,
                new EdgeSettings.RecordSettings(record, 16, 60, 16),
                5);
    }

    String address(int edge) {
        return LoopbackTransport.LOOPBACK + ":" + edges.get(edge).port();
    }

    InferenceClient client(int edge) {
        return new InferenceClient(loops.next(), address(edge), MODEL);
    }

    /** Sends a fault command to an engine and waits until the engine has confirmed it. */
    void sendFaultCommand(String engine, String command) {
        GrpcChannel channel =
                new GrpcChannel(
                        loops.next(),
                        LoopbackTransport.LOOPBACK + ":" + engines.get(engine).port(),
                        GrpcChannel.Options.BACKGROUND);
        var done = new java.util.concurrent.CompletableFuture<Status>();
        ClientCall call =
                channel.newCall(
                        EngineControl.PATH,
                        null,
                        new ClientCall.Listener() {
                            @Override
                            public void onMessage(ClientCall c, byte[] message, int wireBytes) {
                                c.consumeBytes(wireBytes);
                            }

                            @Override
                            public void onClose(
                                    ClientCall c,
                                    Status status,
                                    Headers trailers,
                                    ClientCall.Termination end) {
                                done.complete(status);
                            }
                        });
        call.sendLast(EngineControl.encode(command));
        channel.loop().execute(() -> channel.start(call));
        Status status = done.join();
        channel.loop().execute(channel::shutdown);
        if (!status.isOk()) {
            throw new AssertionError(status);
        }
    }

    static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("timed out waiting for " + what);
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    /** Waits until an edge is idle: without requests, attempts, states or calls. */
    void awaitIdle(int edge) {
        await(
                "edge " + edge + " to be idle",
                () -> edges.get(edge).usage().join().equals(Edge.Usage.IDLE));
    }

    @Override
    public void close() {
        edges.forEach(Edge::stop);
        planner.stop();
        engines.values().forEach(EngineStandIn::kill);
        registry.stop();
        all.forEach(g -> g.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS));
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
