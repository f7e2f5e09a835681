package sorrelhoist.lab.judge;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts outcomes and measures latencies. */
final class VerdictBuilder {
    private static final long WINDOW_MICROS = 10_000_000;
    private static final long MAX_LATENCY_MICROS = 600_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int NO_WINDOW = -1;
    private final long startMicros;
    private final Histogram firstToken = newHistogram();
    private final Histogram perToken = newHistogram();
    private final TreeMap<Long, Histogram> firstTokenByWindow = new TreeMap<>();
    private int requests;
    private int served;
    private int rejected;
    private int failed;
    private int cancelled;
    private int unreachable;

    /**
     * Creates a builder.
     *
     * @param startMicros when the first request was sent, microseconds since 1970
     */
    VerdictBuilder(long startMicros) {
        this.startMicros = startMicros;
    }

    private static Histogram newHistogram() {
        return new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    }

    void add(RequestHistory request, boolean excused) {
        requests++;
        count(request, excused);
        TraceEvent answer = request.finalAnswer();
        if (answer == null || answer.number("first") <= 0) {
            return;
        }
        long firstMicros = Math.min(MAX_LATENCY_MICROS, answer.number("first"));
        firstToken.recordValue(firstMicros);
        long window = (request.sent().atMicros() - startMicros) / WINDOW_MICROS;
        firstTokenByWindow.computeIfAbsent(window, key -> newHistogram()).recordValue(firstMicros);
        long tokens = answer.number("pieces");
        if (tokens > 1) {
            long mean = (answer.number("took") - firstMicros) / (tokens - 1);
            perToken.recordValue(Math.min(MAX_LATENCY_MICROS, mean));
        }
    }

    private void count(RequestHistory request, boolean excused) {
        String status = request.status();
        if (request.isCancelled()) {
            cancelled++;
        } else if (status.equals("OK")) {
            served++;
        } else if (excused) {
            unreachable++;
        } else if (status.equals("RESOURCE_EXHAUSTED")) {
            rejected++;
        } else {
            failed++;
        }
    }

    Verdict build(List<String> violations) {
        long worst = worstWindow();
        return new Verdict(
                violations,
                requests,
                served,
                rejected,
                failed,
                cancelled,
                unreachable,
                firstToken,
                perToken,
                worst == NO_WINDOW ? newHistogram() : firstTokenByWindow.get(worst),
                Math.max(0, worst) * WINDOW_MICROS);
    }

    /** {@return the first of the windows with the highest 99th percentile, or NO_WINDOW} */
    private long worstWindow() {
        long worst = NO_WINDOW;
        long worstPercentile = NO_WINDOW;
        for (Map.Entry<Long, Histogram> window : firstTokenByWindow.entrySet()) {
            long percentile = window.getValue().getValueAtPercentile(99);
            if (percentile > worstPercentile) {
                worst = window.getKey();
                worstPercentile = percentile;
            }
        }
        return worst;
    }
}
