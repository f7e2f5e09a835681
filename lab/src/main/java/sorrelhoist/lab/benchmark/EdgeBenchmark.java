package sorrelhoist.lab.benchmark;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
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
    private static final long TIMEOUT = 8_000_000;
    private static final int CLOCK_TICKS = 100;
    private final ProcessFleet oneEdgeFleet;
    private final Consumer<String> say;
    private final Map<String, Integer> lost = new ConcurrentSkipListMap<>();

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
     * Makes it.
     *
     * @param fleet started, of {@link #oneEdgeFleet} with {@link #FAST_ENGINES} engines
     * @param say takes lines of the report
     */
    public EdgeBenchmark(ProcessFleet fleet, Consumer<String> say) {
        this.oneEdgeFleet = fleet;
        this.say = say;
    }

    private static ScriptedRequest ask(int n, int tokens) {
        return new ScriptedRequest(
                "m" + n, null, "s" + n % 100, null, 0, PROMPT + n % 100, tokens, TIMEOUT);
    }

    /**
     * Measures.
     *
     * @param requests for throughput and memory
     * @param concurrency requests at once
     * @param tokens that each may answer
     */
    public void run(int requests, int concurrency, int tokens) throws IOException {
        InferenceClient edge = oneEdgeFleet.edge(0);
        say.accept("warming up");
        burst(edge, 20_000, concurrency, tokens, new AtomicInteger());
        added(edge, 4000);
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
        say.accept("warming up");
        for (int edge = 0; edge < 2; edge++) {
            burst(oneEdgeFleet.edge(edge), 30_000, 64, 8, new AtomicInteger());
        }
        double[] cpu = new double[2];
        double[] seconds = new double[2];
        for (int turn = 0; turn < 2 * turns; turn++) {
            int edge = turn / 2 % 2 == 0 ? turn % 2 : 1 - turn % 2;
            long pid = oneEdgeFleet.pid("edge-" + (edge + 1));
            long before = cpuMicros(pid);
            long start = System.nanoTime();
            burst(oneEdgeFleet.edge(edge), requests, 64, 8, new AtomicInteger());
            seconds[edge] += (System.nanoTime() - start) / 1e9;
            cpu[edge] += cpuMicros(pid) - before;
        }
        for (int edge = 0; edge < 2; edge++) {
            say.accept(
                    String.format(
                            "%s: %.0f requests a second, %.1f us of CPU a request, over %d"
                                    + " requests",
                            edge == 0 ? "recording" : "not recording",
                            requests * turns / seconds[edge],
                            cpu[edge] / requests / turns,
                            requests * turns));
        }
    }

    private void added(InferenceClient edge, int count) {
        DirectClient direct =
                new DirectClient(
                        oneEdgeFleet.loops().next(),
                        oneEdgeFleet.address("r-r1"),
                        oneEdgeFleet.address("r-w1"));
        Histogram with = new Histogram(60_000_000, 3);
        Histogram without = new Histogram(60_000_000, 3);
        for (int i = 0; i < count; i++) {
            long d = direct.ask("d" + i, PROMPT + i % 100, 4).join();
            InferenceClient.Result r = edge.send(ask(i, 4), (n, t) -> {}).join();
            if (i >= count / 4 && r.served()) {
                without.recordValue(d);
                with.recordValue(r.firstTokenMicros());
            }
        }
        say.accept(
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
        long pid = oneEdgeFleet.pid("edge-1");
        say.accept(String.format("live heap of the edge after warm-up: %.1f MB", live(pid) / 1e6));
        int part = requests / 4;
        for (int i = 1; i <= 4; i++) {
            AtomicInteger served = new AtomicInteger();
            long cpu = cpuMicros(pid);
            long start = System.nanoTime();
            burst(edge, part, concurrency, tokens, served);
            double seconds = (System.nanoTime() - start) / 1e9;
            double used = cpuMicros(pid) - cpu;
            lost.entrySet().stream()
                    .limit(3)
                    .forEach(e -> say.accept("    " + e.getValue() + " not served: " + e.getKey()));
            lost.clear();
            say.accept(
                    String.format(
                            "%d requests at %d at once, %d served: %.0f a second, %.0f us of CPU a"
                                    + " request; live heap %.1f MB, resident %.1f MB",
                            part,
                            concurrency,
                            served.get(),
                            part / seconds,
                            used / part,
                            live(pid) / 1e6,
                            resident(pid) / 1e6));
        }
    }

    private void burst(
            InferenceClient edge, int count, int concurrency, int tokens, AtomicInteger served) {
        Semaphore room = new Semaphore(concurrency);
        CompletableFuture<?>[] last = new CompletableFuture<?>[count];
        for (int i = 0; i < count; i++) {
            room.acquireUninterruptibly();
            last[i] =
                    edge.send(ask(i, tokens), (n, t) -> {})
                            .thenAccept(
                                    r -> {
                                        served.addAndGet(r.served() ? 1 : 0);
                                        if (!r.served()) {
                                            lost.merge(r.end() + " " + r.status(), 1, Integer::sum);
                                        }
                                        room.release();
                                    });
        }
        CompletableFuture.allOf(last).join();
    }

    /** User and system time of a process, from the kernel. */
    static long cpuMicros(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 1_000_000 / CLOCK_TICKS;
    }

    private static long resident(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")) * 1024)
                .sum();
    }

    /** Bytes of objects that live after a full collection, as the JDK's own tool counts them. */
    private static long live(long pid) throws IOException {
        Process p =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                                Long.toString(pid),
                                "GC.class_histogram")
                        .redirectErrorStream(true)
                        .start();
        String[] lines =
                new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8).split("\n");
        for (int i = lines.length - 1; i >= 0; i--) {
            if (lines[i].startsWith("Total")) {
                return Long.parseLong(lines[i].trim().split("\\s+")[2]);
            }
        }
        throw new IOException("jcmd told nothing of process " + pid);
    }
}
