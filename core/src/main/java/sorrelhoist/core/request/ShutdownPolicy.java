package sorrelhoist.core.request;

/**
 * The schedule of a shutdown, in microseconds since SIGTERM. The process may be killed as early as
 * a short grace period after the longest deadline of the deployment; clients use their existing
 * connections until then.
 *
 * @param longestDeadlineMicros the longest deadline of any class of requests
 */
public record ShutdownPolicy(long longestDeadlineMicros) {
    /**
     * Upper bound of the deadline that is taken into account; longer ones are treated as this
     * value.
     */
    private static final long MAX_COUNTED_DEADLINE_MICROS = 3_000_000;

    /**
     * SIGKILL may follow this long after the deadline of a request that arrived together with
     * SIGTERM.
     */
    private static final long KILL_GRACE_MICROS = 700_000;

    /** How long new requests are served; new connections arrive for up to 0.4 s after SIGTERM. */
    private static final long ACCEPTING_MICROS = 500_000;

    /** Time reserved for sending the last results, during which the process may be delayed. */
    private static final long EXIT_MICROS = 400_000;

    /** {@return how long requests that arrive are still served} */
    public long acceptingMicros() {
        return ACCEPTING_MICROS;
    }

    /** {@return the earliest time at which SIGKILL may follow} */
    public long killMicros() {
        return Math.min(longestDeadlineMicros, MAX_COUNTED_DEADLINE_MICROS) + KILL_GRACE_MICROS;
    }

    /** {@return the time by which the last stream has to be migrated} */
    public long migratedMicros() {
        return killMicros() - EXIT_MICROS;
    }
}
