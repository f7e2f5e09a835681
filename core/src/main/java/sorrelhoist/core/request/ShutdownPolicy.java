package sorrelhoist.core.request;

/**
 * The times of a shutdown, counted from SIGTERM in microseconds. The process is killed as early as
 * the longest deadline of the deployment and a moment more; clients use the connections that they
 * have until then.
 *
 * @param longestDeadlineMicros the longest deadline of any class of requests
 */
public record ShutdownPolicy(long longestDeadlineMicros) {
    /** Longer deadlines count as this. */
    private static final long MAX_COUNTED_DEADLINE_MICROS = 3_000_000;

    /** SIGKILL may come so long after the deadline of a request that arrived with SIGTERM. */
    private static final long KILL_GRACE_MICROS = 700_000;

    /** New connections come for up to 0.4 s after SIGTERM. */
    private static final long ACCEPTING_MICROS = 500_000;

    /** For what was ended last to leave the process, which may be held up as it does. */
    private static final long EXIT_MICROS = 400_000;

    /** {@return for how long requests are still served that arrive} */
    public long acceptingMicros() {
        return ACCEPTING_MICROS;
    }

    /** {@return when SIGKILL may come} */
    public long killMicros() {
        return Math.min(longestDeadlineMicros, MAX_COUNTED_DEADLINE_MICROS) + KILL_GRACE_MICROS;
    }

    /** {@return when the last stream has to be migrated} */
    public long migratedMicros() {
        return killMicros() - EXIT_MICROS;
    }
}
