package sorrelhoist.core.guard;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Counts violations by name, and logs them: each name at most once a second. One thread at a time.
 */
public final class InvariantMonitor {
    private static final long LOG_INTERVAL_MICROS = 1_000_000;
    private final Consumer<String> log;
    private final Map<Invariant, Long> counts = new EnumMap<>(Invariant.class);
    private final Map<Invariant, Long> loggedAt = new EnumMap<>(Invariant.class);

    /**
     * Creates a monitor without violations.
     *
     * @param log takes lines
     */
    public InvariantMonitor(Consumer<String> log) {
        this.log = log;
    }

    /**
     * Checks an invariant.
     *
     * @param holds whether it does
     * @param invariant which
     * @param now the caller's clock, in microseconds
     * @param subject whom it concerns: request, attempt, engine, and how they came to it
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

    /** {@return how often each was violated; those that never were are left out} */
    public Map<Invariant, Long> counts() {
        return new TreeMap<>(counts);
    }
}
