package sorrelhoist.lab.benchmark;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import sorrelhoist.lab.fleet.ProcessFleet;
import sorrelhoist.lab.load.InferenceClient;
import sorrelhoist.lab.load.ScriptedRequest;
import sorrelhoist.lab.scenario.Scenario;

/**
 * Measures one edge on loopback: what it adds to a first token (edge minus direct, turn by turn),
 * requests a second with CPU a request, and the memory that lives after many.
 */
public final class EdgeBenchmark {
    /** Engines that cost next to nothing, so that the edge is what is measured. */
    public static final Map<String, Long> FAST_ENGINES =
            Map.of(
                    "stepMicros",
                    100L,
                    "perAnswerMicros",
                    0L,
                    "readPerSecond",
                    100_000_000L,
                    "slots",
                    4096L,
                    "queue",
                    4096L,
                    "memoryTokens",
                    100_000_000L,
                    "moveTokensPerSecond",
                    1_000_000_000L,
                    "farTokensPerSecond",
                    1_000_000_000L,
                    "warmSendsPerSecond",
                    0L);

    private static final String PROMPT =
            "Where is the pallet for dock seven, and when does the truck come back? ";
    private static final int PROMPTS = 100;
    private static final long TIMEOUT_MICROS = 8_000_000;
    private final ProcessFleet fleet;
    private final Consumer<String> output;
    private final Map<String, Integer> failures = new ConcurrentSkipListMap<>();

    /** {@return one edge, two readers and two writers} */
    public static Scenario oneEdgeFleet() {
        return new Scenario(
                "measure",
                1,
                1,
                List.of(new Scenario.Zone("a", 1, List.of(new Scenario.Rack("r", 2, 2)))),
                List.of(),
                List.of());
    }

    /**
     * Creates a benchmark.
     *
     * @param fleet started, of {@link #oneEdgeFleet} with {@link #FAST_ENGINES} engines
     * @param output takes the lines of the report
     */
    public EdgeBenchmark(ProcessFleet fleet, Consumer<String> output) {
        this.fleet = fleet;
        this.output = output;
    }

    private static ScriptedRequest request(int number, int tokens) {
        return new ScriptedRequest(
                "m" + number,
                null,
                "s" + number % PROMPTS,
                null,
                0,
                PROMPT + number % PROMPTS,
                tokens,
                TIMEOUT_MICROS);
    }

    /**
     * Measures latency, throughput, CPU and memory.
     *
     * @param requests for throughput and memory
     * @param concurrency requests at once
     * @param tokens that each may answer
     */
    public void run(int requests, int concurrency, int tokens) throws IOException {
        InferenceClient edge = fleet.edge(0);
        output.accept("warming up");
        burst(edge, 20_000, concurrency, tokens, new AtomicInteger());
        addedLatency(edge, 4000);
        throughput(edge, requests, concurrency, tokens);
    }

    /** {@return two edges over the same engines, so that two ways can take turns} */
    public static Scenario twoEdgeFleet() {
        return new Scenario(
                "pair",
                1,
                1,
                List.of(new Scenario.Zone("a", 2, List.of(new Scenario.Rack("r", 2, 2)))),
                List.of(),
                List.of());
    }

    /**
     * Measures what recording costs: the first edge records, the second does not, and they take
     * turns.
     *
     * @param requests of each turn
     * @param turns of each
     */
    public void runRecorder(int requests, int turns) throws IOException {
        output.accept("warming up");
        for (int edge = 0; edge < 2; edge++) {
            burst(fleet.edge(edge), 30_000, 64, 8, new AtomicInteger());
        }
        double[] cpu = new double[2];
        double[] seconds = new double[2];
        for (int turn = 0; turn < 2 * turns; turn++) {
            int edge = turn / 2 % 2 == 0 ? turn % 2 : 1 - turn % 2;
            long pid = fleet.pid("edge-" + (edge + 1));
            long before = ProcessStatistics.cpuMicros(pid);
            long start = System.nanoTime();
            burst(fleet.edge(edge), requests, 64, 8, new AtomicInteger());
            seconds[edge] += (System.nanoTime() - start) / 1e9;
            cpu[edge] += ProcessStatistics.cpuMicros(pid) - before;
        }
        for (int edge = 0; edge < 2; edge++) {
            output.accept(
                    String.format(
                            "%s: %.0f requests a second, %.1f us of CPU a request, over %d"
                                    + " requests",
                            edge == 0 ? "recording" : "not recording",
                            requests * turns / seconds[edge],
                            cpu[edge] / requests / turns,
                            requests * turns));
        }
    }

    private void addedLatency(InferenceClient edge, int count) {
        DirectClient direct =
                new DirectClient(
                        fleet.loops().next(), fleet.address("r-r1"), fleet.address("r-w1"));
        Histogram with = new Histogram(60_000_000, 3);
        Histogram without = new Histogram(60_000_000, 3);
        for (int i = 0; i < count; i++) {
            long d = direct.send("d" + i, PROMPT + i % PROMPTS, 4).join();
            InferenceClient.Result r = edge.send(request(i, 4), (n, t) -> {}).join();
            if (i >= count / 4 && r.served()) {
                without.recordValue(d);
                with.recordValue(r.firstTokenMicros());
            }
        }
        output.accept(
                String.format(
                        "first token, one at a time, %d each: direct median %d us, 99th %d us;"
                            + " through the edge median %d us, 99th %d us; added median %d us, 99th"
                            + " %d us",
                        with.getTotalCount(),
                        without.getValueAtPercentile(50),
                        without.getValueAtPercentile(99),
                        with.getValueAtPercentile(50),
                        with.getValueAtPercentile(99),
                        with.getValueAtPercentile(50) - without.getValueAtPercentile(50),
                        with.getValueAtPercentile(99) - without.getValueAtPercentile(99)));
    }

    private void throughput(InferenceClient edge, int requests, int concurrency, int tokens)
            throws IOException {
        long pid = fleet.pid("edge-1");
        output.accept(
                String.format(
                        "live heap of the edge after warm-up: %.1f MB",
                        ProcessStatistics.liveHeapBytes(pid) / 1e6));
        int part = requests / 4;
        for (int i = 1; i <= 4; i++) {
            AtomicInteger served = new AtomicInteger();
            long cpu = ProcessStatistics.cpuMicros(pid);
            long start = System.nanoTime();
            burst(edge, part, concurrency, tokens, served);
            double seconds = (System.nanoTime() - start) / 1e9;
            double used = ProcessStatistics.cpuMicros(pid) - cpu;
            failures.entrySet().stream()
                    .limit(3)
                    .forEach(
                            e ->
                                    output.accept(
                                            "    " + e.getValue() + " not served: " + e.getKey()));
            failures.clear();
            output.accept(
                    String.format(
                            "%d requests at %d at once, %d served: %.0f a second, %.0f us of CPU a"
                                    + " request; live heap %.1f MB, resident %.1f MB",
                            part,
                            concurrency,
                            served.get(),
                            part / seconds,
                            used / part,
                            ProcessStatistics.liveHeapBytes(pid) / 1e6,
                            ProcessStatistics.residentBytes(pid) / 1e6));
        }
    }

    private void burst(
            InferenceClient edge, int count, int concurrency, int tokens, AtomicInteger served) {
        Semaphore permits = new Semaphore(concurrency);
        CompletableFuture<?>[] last = new CompletableFuture<?>[count];
        for (int i = 0; i < count; i++) {
            permits.acquireUninterruptibly();
            last[i] =
                    edge.send(request(i, tokens), (n, t) -> {})
                            .thenAccept(
                                    r -> {
                                        served.addAndGet(r.served() ? 1 : 0);
                                        if (!r.served()) {
                                            failures.merge(
                                                    r.end() + " " + r.status(), 1, Integer::sum);
                                        }
                                        permits.release();
                                    });
        }
        CompletableFuture.allOf(last).join();
    }
}
