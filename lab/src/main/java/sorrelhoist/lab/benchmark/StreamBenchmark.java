package sorrelhoist.lab.benchmark;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import sorrelhoist.lab.fleet.ProcessFleet;
import sorrelhoist.lab.load.InferenceClient;
import sorrelhoist.lab.load.ScriptedRequest;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * Measures how many streams one edge carries at twenty tokens a second each: for rising numbers of
 * streams, how late a token comes after its due time (fifty milliseconds after the one before).
 */
public final class StreamBenchmark {
    /** Engines that write twenty tokens a second whatever their number of answers. */
    public static final Map<String, Long> STEADY_ENGINES =
            Map.of(
                    "stepMicros",
                    500L,
                    "perAnswerMicros",
                    0L,
                    "readPerSecond",
                    100_000_000L,
                    "slots",
                    20_000L,
                    "queue",
                    20_000L,
                    "memoryTokens",
                    1_000_000_000L,
                    "moveTokensPerSecond",
                    1_000_000_000L,
                    "farTokensPerSecond",
                    1_000_000_000L,
                    "warmSendsPerSecond",
                    0L,
                    "write:stepMicros",
                    50_000L);

    private static final int STREAM_SECONDS = 20;
    private static final int TOKENS_PER_SECOND = 20;
    private static final int TOKEN_GAP_MICROS = 50_000;
    private static final int MAX_MICROS = 60_000_000;
    private static final long TIMEOUT_MICROS = 120_000_000;
    private static final int SLOW_MILLIS = 100;
    private static final int CLIENTS = 8;
    private static final int CLIENT_THREADS = 4;
    private static final int START_PAUSE_MILLIS = 5;
    private final ProcessFleet fleet;
    private final Consumer<String> output;

    /**
     * Creates a benchmark.
     *
     * @param fleet started, of {@link EdgeBenchmark#oneEdgeFleet} with {@link #STEADY_ENGINES}
     *     engines
     * @param output takes the lines of the report
     */
    public StreamBenchmark(ProcessFleet fleet, Consumer<String> output) {
        this.fleet = fleet;
        this.output = output;
    }

    /**
     * Measures.
     *
     * @param levels numbers of streams
     * @param slowShare share of clients that take a tenth of a second for each token
     */
    public void run(int[] levels, double slowShare) throws IOException {
        EventLoopGroup loops = LoopbackTransport.newEventLoops(CLIENT_THREADS, "streams");
        for (int level : levels) {
            runLevel(level, slowShare, loops);
        }
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private void runLevel(int level, double slowShare, EventLoopGroup loops) throws IOException {
        List<InferenceClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String edge = fleet.address("edge-1");
            clients.add(new InferenceClient(loops.next(), edge, ProcessFleet.MODEL));
        }
        LevelResult result = new LevelResult();
        long cpuBefore = ProcessStatistics.cpuMicros(fleet.pid("edge-1"));
        long start = System.nanoTime();
        CompletableFuture<?>[] streams = new CompletableFuture<?>[level];
        for (int i = 0; i < level; i++) {
            boolean slow = i < level * slowShare;
            streams[i] = stream(clients.get(i % CLIENTS), i, slow, result);
            if (i % 2 == 1) {
                pause(START_PAUSE_MILLIS);
            }
        }
        CompletableFuture.allOf(streams).join();
        double seconds = (System.nanoTime() - start) / 1e9;
        double cpuMicros = ProcessStatistics.cpuMicros(fleet.pid("edge-1")) - cpuBefore;
        output.accept(result.row(level, seconds, cpuMicros));
        clients.forEach(InferenceClient::close);
    }

    /** What the clients of one number of streams saw. Times in microseconds. */
    private static final class LevelResult {
        private final Histogram lateness = new ConcurrentHistogram(MAX_MICROS, 3);
        private final Histogram gaps = new ConcurrentHistogram(MAX_MICROS, 3);
        private final AtomicInteger served = new AtomicInteger();

        void addGap(long micros) {
            long gap = Math.min(MAX_MICROS, micros);
            gaps.recordValue(gap);
            lateness.recordValue(Math.max(0, gap - TOKEN_GAP_MICROS));
        }

        String row(int level, double seconds, double cpuMicros) {
            return String.format(
                    "%5d streams, %d served: token gap median %.1f ms, 99th %.1f ms; beyond"
                            + " 50 ms median %.1f ms, 99th %.1f ms; edge used %.2f cores, %.1f"
                            + " us a token",
                    level,
                    served.get(),
                    gaps.getValueAtPercentile(50) / 1000.0,
                    gaps.getValueAtPercentile(99) / 1000.0,
                    lateness.getValueAtPercentile(50) / 1000.0,
                    lateness.getValueAtPercentile(99) / 1000.0,
                    cpuMicros / 1e6 / seconds,
                    cpuMicros / Math.max(1, gaps.getTotalCount()));
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static CompletableFuture<?> stream(
            InferenceClient client, int number, boolean slow, LevelResult result) {
        long[] previous = {0};
        ScriptedRequest request =
                new ScriptedRequest(
                        "s" + number,
                        null,
                        "s" + number,
                        null,
                        0,
                        "Tell me all about dock " + number,
                        STREAM_SECONDS * TOKENS_PER_SECOND,
                        TIMEOUT_MICROS);
        return client.send(
                        request,
                        (index, text) -> {
                            long now = System.nanoTime();
                            if (previous[0] > 0) {
                                result.addGap((now - previous[0]) / 1000);
                            }
                            previous[0] = now;
                        },
                        slow ? SLOW_MILLIS : 0)
                .thenAccept(answer -> result.served.addAndGet(answer.served() ? 1 : 0));
    }
}
