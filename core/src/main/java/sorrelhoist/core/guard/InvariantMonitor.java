package sorrelhoist.core.guard;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Counts violations by invariant, and logs each invariant at most once a second. Not thread-safe.
 */
public final class InvariantMonitor {
    private static final long LOG_INTERVAL_MICROS = 1_000_000;
    private final Consumer<String> log;
    private final Map<Invariant, Long> counts = new EnumMap<>(Invariant.class);
    private final Map<Invariant, Long> loggedAt = new EnumMap<>(Invariant.class);

    /**
     * Creates a monitor without violations.
     *
     * @param log receives the log lines
     */
    public InvariantMonitor(Consumer<String> log) {
        this.log = log;
    }

    /**
     * Checks an invariant.
     *
     * @param holds whether the invariant holds
     * @param invariant the invariant
     * @param now the time of the caller's clock, in microseconds
     * @param subject the request, attempt and engine concerned, with their history; logged on
     *     violation
     * @return {@code holds}
     */
    public boolean check(boolean holds, Invariant invariant, long now, Object subject) {
        if (!holds) {
            violated(invariant, now, subject);
        }
        return holds;
    }

    private void violated(Invariant invariant, long now, Object subject) {
        counts.merge(invariant, 1L, Long::sum);
        Long loggedBefore = loggedAt.get(invariant);
        if (loggedBefore == null || now - loggedBefore >= LOG_INTERVAL_MICROS) {
            loggedAt.put(invariant, now);
            log.accept("invariant violated: " + invariant + ": " + subject);
        }
    }

    /**
     * {@return the number of violations by invariant, without invariants that were never violated;
     * a copy}
     */
    public Map<Invariant, Long> counts() {
        return new TreeMap<>(counts);
    }
}
