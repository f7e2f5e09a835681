package sorrelhoist.lab.benchmark;

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

    private static final int SECONDS = 20;
    private static final int GAP = 50_000;
    private static final int SLOW_MILLIS = 100;
    private static final int CLIENTS = 8;
    private final ProcessFleet fleet;
    private final Consumer<String> say;

    /**
     * Makes it.
     *
     * @param fleet started, of {@link EdgeBenchmark#oneEdgeFleet} with {@link #STEADY_ENGINES}
     *     engines
     * @param say takes lines of the report
     */
    public StreamBenchmark(ProcessFleet fleet, Consumer<String> say) {
        this.fleet = fleet;
        this.say = say;
    }

    /**
     * Measures.
     *
     * @param levels numbers of streams
     * @param slowShare share of clients that take a tenth of a second for each token
     */
    public void run(int[] levels, double slowShare) throws java.io.IOException {
        var loops = LoopbackTransport.newEventLoops(4, "streams");
        for (int level : levels) {
            List<InferenceClient> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(
                        new InferenceClient(
                                loops.next(), fleet.address("edge-1"), ProcessFleet.MODEL));
            }
            ConcurrentHistogram late = new ConcurrentHistogram(60_000_000, 3);
            Histogram gaps = new ConcurrentHistogram(60_000_000, 3);
            AtomicInteger served = new AtomicInteger();
            long cpu = EdgeBenchmark.cpuMicros(fleet.pid("edge-1"));
            long start = System.nanoTime();
            CompletableFuture<?>[] all = new CompletableFuture<?>[level];
            for (int i = 0; i < level; i++) {
                all[i] =
                        stream(
                                clients.get(i % CLIENTS),
                                i,
                                i < level * slowShare,
                                late,
                                gaps,
                                served);
                if (i % 2 == 1) {
                    pause(5);
                }
            }
            CompletableFuture.allOf(all).join();
            double seconds = (System.nanoTime() - start) / 1e9;
            double used = EdgeBenchmark.cpuMicros(fleet.pid("edge-1")) - cpu;
            say.accept(
                    String.format(
                            "%5d streams, %d served: token gap median %.1f ms, 99th %.1f ms; beyond"
                                + " 50 ms median %.1f ms, 99th %.1f ms; edge used %.2f cores, %.1f"
                                + " us a token",
                            level,
                            served.get(),
                            gaps.getValueAtPercentile(50) / 1000.0,
                            gaps.getValueAtPercentile(99) / 1000.0,
                            late.getValueAtPercentile(50) / 1000.0,
                            late.getValueAtPercentile(99) / 1000.0,
                            used / 1e6 / seconds,
                            used / Math.max(1, gaps.getTotalCount())));
            clients.forEach(InferenceClient::close);
        }
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private CompletableFuture<?> stream(
            InferenceClient client,
            int n,
            boolean slow,
            Histogram late,
            Histogram gaps,
            AtomicInteger served) {
        long[] before = {0};
        ScriptedRequest ask =
                new ScriptedRequest(
                        "s" + n,
                        null,
                        "s" + n,
                        null,
                        0,
                        "Tell me all about dock " + n,
                        SECONDS * 20,
                        120_000_000);
        return client.send(
                        ask,
                        (i, text) -> {
                            long now = System.nanoTime();
                            if (before[0] > 0) {
                                long gap = Math.min(60_000_000, (now - before[0]) / 1000);
                                gaps.recordValue(gap);
                                late.recordValue(Math.max(0, gap - GAP));
                            }
                            before[0] = now;
                        },
                        slow ? SLOW_MILLIS : 0)
                .thenAccept(r -> served.addAndGet(r.served() ? 1 : 0));
    }
}
