package sorrelhoist.lab.benchmark;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.ConcurrentHistogram;
import sorrelhoist.lab.fleet.ProcessFleet;
import sorrelhoist.lab.load.InferenceClient;
import sorrelhoist.lab.load.ScriptedRequest;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * Measures a whole fleet beside a plain client, by turns in one run: steady rates below and above
 * what its engines can do, and bursts. Requests are sent when they are due, whether or not answers
 * come back, and a first token's time counts from then, so that what is slow shows as slow.
 */
public final class FleetBenchmark {
    private static final int OPENINGS = 8;
    private static final int TOKENS = 24;
    private static final long LATENCY_OBJECTIVE_MICROS = 1_000_000;
    private static final long TIMEOUT_MICROS = 4_000_000;
    private static final int CLIENTS = 4;
    private static final long REST_MILLIS = 3000;
    private static final String[] WORDS =
            ("crate pallet dock seven truck north gate when where which morning list "
                            + "carrier noon order label shelf belt weight south")
                    .split(" ");

    /**
     * What to measure.
     *
     * @param rates requests a second, one stretch each
     * @param seconds of each stretch
     * @param burst requests sent at once
     * @param bursts how many, one after the other
     * @param plain whether the plain client takes its turns
     */
    public record Plan(int[] rates, int seconds, int burst, int bursts, boolean plain) {}

    /** One stretch's results. */
    private static final class Tally {
        final ConcurrentHistogram first = new ConcurrentHistogram(60_000_000, 3);
        final ConcurrentHistogram rejection = new ConcurrentHistogram(60_000_000, 3);
        final ConcurrentHistogram lateSend = new ConcurrentHistogram(60_000_000, 3);
        final Map<String, Integer> reasons = new TreeMap<>();
        int inTime;
        int late;
        int rejected;
        int failed;

        synchronized void served(long micros) {
            first.recordValue(Math.min(micros, 59_000_000));
            if (micros <= LATENCY_OBJECTIVE_MICROS) {
                inTime++;
            } else {
                late++;
            }
        }

        synchronized void unserved(boolean isRejection, long micros, String reason) {
            if (isRejection) {
                rejected++;
                rejection.recordValue(Math.min(micros, 59_000_000));
            } else {
                failed++;
            }
            reasons.merge(reason, 1, Integer::sum);
        }

        int all() {
            return inTime + late + rejected + failed;
        }
    }

    private final ProcessFleet fleet;
    private final Consumer<String> output;
    private final EventLoopGroup loops = LoopbackTransport.newEventLoops(CLIENTS + 1, "measure");
    private final List<InferenceClient> clients = new ArrayList<>();
    private final LeastLoadedClient plain;
    private final List<String> rows = new ArrayList<>();
    private int number;

    /**
     * Creates a benchmark.
     *
     * @param fleet started
     * @param output takes the lines of the report
     */
    public FleetBenchmark(ProcessFleet fleet, Consumer<String> output) {
        this.fleet = fleet;
        this.output = output;
        for (int i = 0; i < CLIENTS; i++) {
            String edge = fleet.address("edge-" + (1 + i % fleet.edgeCount()));
            clients.add(new InferenceClient(loops.next(), edge, ProcessFleet.MODEL));
        }
        plain = new LeastLoadedClient(loops.next(), addresses("read"), addresses("write"));
    }

    private List<String> addresses(String role) {
        return fleet.engines().stream()
                .filter(e -> e.role().equals(role))
                .map(e -> fleet.address(e.id()))
                .toList();
    }

    /**
     * Measures the stretches of a plan one after the other.
     *
     * @param plan what
     * @param table takes the figures as CSV; null for none
     */
    public void run(Plan plan, Path table) throws IOException {
        output.accept("warming up");
        stretch("warm-up", "edge", 100, plan.seconds());
        rows.clear();
        output.accept(
                "asked                who    in time  late  refused failed  first token 50th / 99th"
                        + " ms  refused 99th ms");
        for (int rate : plan.rates()) {
            stretch(rate + " a second", "edge", rate, plan.seconds());
            if (plan.plain()) {
                stretch(rate + " a second", "plain", rate, plan.seconds());
            }
        }
        for (int i = 1; i <= plan.bursts(); i++) {
            stretch("burst " + i + " of " + plan.burst(), "edge", plan.burst(), 0);
        }
        for (int i = 1; plan.plain() && i <= Math.min(3, plan.bursts()); i++) {
            stretch("burst " + i + " of " + plan.burst(), "plain", plan.burst(), 0);
        }
        if (table != null) {
            rows.add(
                    0,
                    "asked,who,in_time,late,refused,failed,first_50_ms,first_99_ms,"
                            + "refused_99_ms,send_late_99_ms");
            Files.write(table, rows);
        }
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /**
     * Asks at a rate for some seconds, or all at once where they are 0; then waits until the fleet
     * is quiet.
     */
    private void stretch(String name, String who, int rate, int seconds) {
        int count = seconds == 0 ? rate : rate * seconds;
        Tally tally = new Tally();
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        CompletableFuture<?>[] all = new CompletableFuture<?>[count];
        CompletableFuture<Void> sent = new CompletableFuture<>();
        long start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(5);
        long gap = seconds == 0 ? 0 : 1_000_000_000L / rate;
        int[] next = {0};
        timer.scheduleAtFixedRate(
                () -> {
                    for (long now = System.nanoTime();
                            next[0] < count && start + next[0] * gap <= now;
                            now = System.nanoTime()) {
                        long due = start + next[0] * gap;
                        tally.lateSend.recordValue(Math.min(59_000_000, (now - due) / 1000));
                        all[next[0]] =
                                who.equals("edge")
                                        ? edge(number++, due, tally)
                                        : direct(number++, tally);
                        next[0]++;
                    }
                    if (next[0] == count) {
                        sent.complete(null);
                    }
                },
                1,
                1,
                TimeUnit.MILLISECONDS);
        sent.join();
        timer.shutdown();
        CompletableFuture.allOf(all).join();
        report(name, who, tally);
        rest();
    }

    private static void rest() {
        try {
            Thread.sleep(REST_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private CompletableFuture<?> edge(int n, long due, Tally tally) {
        int opening = n % OPENINGS;
        String shared = words(opening, 90);
        ScriptedRequest ask =
                new ScriptedRequest(
                        "f" + n,
                        null,
                        "s" + n,
                        "opening " + opening,
                        shared.length() / 4,
                        shared + words(1000 + n, 90),
                        TOKENS,
                        TIMEOUT_MICROS);
        return clients.get(n % CLIENTS)
                .send(ask, (i, t) -> {})
                .thenAccept(
                        r -> {
                            long behind =
                                    Math.max(
                                            0,
                                            (System.nanoTime() - due) / 1000 - r.durationMicros());
                            if (r.served()) {
                                tally.served(behind + r.firstTokenMicros());
                            } else {
                                String why = r.status().message();
                                tally.unserved(
                                        r.rejected(),
                                        behind + r.durationMicros(),
                                        why.substring(0, Math.min(why.length(), 200)));
                            }
                        });
    }

    private CompletableFuture<?> direct(int n, Tally tally) {
        return plain.send("f" + n, words(n % OPENINGS, 90) + words(1000 + n, 90), TOKENS)
                .orTimeout(TIMEOUT_MICROS, TimeUnit.MICROSECONDS)
                .handle(
                        (first, e) -> {
                            if (e == null) {
                                tally.served(first);
                            } else {
                                tally.unserved(false, 0, "plain: " + e.getClass().getSimpleName());
                            }
                            return null;
                        });
    }

    private static String words(int seed, int count) {
        SplittableRandom random = new SplittableRandom(seed);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append(WORDS[random.nextInt(WORDS.length)]).append(' ');
        }
        return text.toString();
    }

    private void report(String name, String who, Tally tally) {
        double all = Math.max(1, tally.all());
        output.accept(
                String.format(
                        Locale.ROOT,
                        "%-20s %-6s %6.1f%% %5.1f%% %6.1f%% %5.1f%%  %8.1f / %8.1f  %14.1f%s",
                        name,
                        who,
                        100 * tally.inTime / all,
                        100 * tally.late / all,
                        100 * tally.rejected / all,
                        100 * tally.failed / all,
                        tally.first.getValueAtPercentile(50) / 1000.0,
                        tally.first.getValueAtPercentile(99) / 1000.0,
                        tally.rejection.getValueAtPercentile(99) / 1000.0,
                        tally.lateSend.getValueAtPercentile(99) > 20_000
                                ? "  (sent late by "
                                        + tally.lateSend.getValueAtPercentile(99) / 1000
                                        + " ms: the generator is short)"
                                : ""));
        tally.reasons.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .limit(3)
                .forEach(e -> output.accept("    " + e.getValue() + " x " + e.getKey()));
        rows.add(
                String.format(
                        Locale.ROOT,
                        "%s,%s,%d,%d,%d,%d,%.1f,%.1f,%.1f,%.1f",
                        name,
                        who,
                        tally.inTime,
                        tally.late,
                        tally.rejected,
                        tally.failed,
                        tally.first.getValueAtPercentile(50) / 1000.0,
                        tally.first.getValueAtPercentile(99) / 1000.0,
                        tally.rejection.getValueAtPercentile(99) / 1000.0,
                        tally.lateSend.getValueAtPercentile(99) / 1000.0));
    }
}
