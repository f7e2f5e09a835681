package sorrelhoist.lab.judge;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What the judge found.
 *
 * @param violations each broken rule, with where and when
 * @param requests requests that clients sent
 * @param served answered whole
 * @param rejected refused
 * @param failed failed
 * @param cancelled given up by their clients
 * @param unreachable never taken: no edge could be reached, or the one that held them was killed
 * @param firstToken microseconds until first tokens
 * @param perToken microseconds between tokens, mean of each answer
 * @param worstFirst first tokens of the worst ten seconds
 * @param worstAt when these began, microseconds after the first request
 */
public record Verdict(
        List<String> violations,
        int requests,
        int served,
        int rejected,
        int failed,
        int cancelled,
        int unreachable,
        Histogram firstToken,
        Histogram perToken,
        Histogram worstFirst,
        long worstAt) {
    /** {@return whether every rule was kept} */
    public boolean passed() {
        return violations.isEmpty();
    }

    /** {@return the same as a table for people} */
    public String table() {
        StringBuilder out = new StringBuilder();
        out.append(
                String.format(
                        "%-14s %8d%n%-14s %8d%n%-14s %8d%n%-14s %8d%n%-14s %8d%n%-14s %8d%n",
                        "asked",
                        requests,
                        "served",
                        served,
                        "refused",
                        rejected,
                        "failed",
                        failed,
                        "cancelled",
                        cancelled,
                        "unreachable",
                        unreachable));
        out.append(row("first token", firstToken))
                .append(row("per token", perToken))
                .append(row("worst 10 s", worstFirst));
        out.append(
                String.format("%-14s %8.1f s after the first request%n", "  began", worstAt / 1e6));
        out.append(String.format("%-14s %8d%n", "rules broken", violations.size()));
        violations.stream().limit(20).forEach(b -> out.append("  ").append(b).append('\n'));
        return out.toString();
    }

    private static String row(String name, Histogram h) {
        return String.format(
                "%-14s median %7.1f ms   99th %7.1f ms   most %7.1f ms   (%d)%n",
                name,
                h.getValueAtPercentile(50) / 1000.0,
                h.getValueAtPercentile(99) / 1000.0,
                h.getMaxValue() / 1000.0,
                h.getTotalCount());
    }
}
