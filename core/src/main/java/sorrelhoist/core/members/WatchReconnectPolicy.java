package sorrelhoist.core.members;

import sorrelhoist.core.time.Backoff;

/**
 * Decides when a watch of the server list counts as silent, and when the next one is opened. All
 * times are derived from one budget: an update that a silent watch misses counts as announced
 * {@link #UPDATE_BUDGET_MICROS} after the watch fell silent, whether it arrived or not. Within this
 * budget the silence is detected, two attempts may hang, and a third one still receives the list. A
 * silent watch stays open until another one has received a message, as it may recover.
 *
 * <p>Attempts are numbered from 1; 0 means no attempt. Times are in microseconds.
 */
public final class WatchReconnectPolicy {
    /**
     * The time within which a silent watch is replaced and its updates are received, in
     * microseconds.
     */
    public static final long UPDATE_BUDGET_MICROS = 6_000_000;

    /** The interval between the heartbeats of a watch. */
    private static final long HEARTBEAT_INTERVAL_MICROS = 2_000_000;

    /**
     * The time without received bytes after which a watch counts as silent; leaves room for a late
     * heartbeat.
     */
    static final long SILENCE_TIMEOUT_MICROS = HEARTBEAT_INTERVAL_MICROS + 600_000;

    /**
     * The timeout for connecting and receiving the first list, and between two parts of that list.
     */
    static final long ATTEMPT_TIMEOUT_MICROS = 1_000_000;

    /**
     * The longest delay before an attempt: a third of the budget that remains after the silence
     * timeout, two hung attempts and the time for the list of the last attempt.
     */
    static final long MAX_BACKOFF_MICROS =
            (UPDATE_BUDGET_MICROS
                            - SILENCE_TIMEOUT_MICROS
                            - 2 * ATTEMPT_TIMEOUT_MICROS
                            - ATTEMPT_TIMEOUT_MICROS / 2)
                    / 3;

    /**
     * The time after which a starting router without a list continues with the saved one, in
     * microseconds; by then two attempts have hung.
     */
    public static final long FIRST_LIST_TIMEOUT_MICROS =
            2 * ATTEMPT_TIMEOUT_MICROS + MAX_BACKOFF_MICROS;

    private static final long MIN_BACKOFF_MICROS = 50_000;
    private static final long NOT_SCHEDULED = Long.MAX_VALUE;
    private static final long NO_ATTEMPT = 0;

    private final Backoff backoff;
    private long lastAttempt;
    private long establishedWatch;
    private long lastReceivedAt;
    private long pendingAttempt;
    private long attemptStartedAt;
    private long lastProgressAt;
    private long nextAttemptAt = NOT_SCHEDULED;

    /**
     * Creates a policy without a watch; {@link #restart} makes the first attempt due.
     *
     * @param seed the seed of the random half of the backoff, which spreads the reconnects of
     *     routers that lose their watches at the same time
     */
    public WatchReconnectPolicy(long seed) {
        backoff = new Backoff(MIN_BACKOFF_MICROS, MAX_BACKOFF_MICROS, seed);
    }

    /**
     * Starts, or restarts at another address: the next attempt is due at once.
     *
     * @param now the time, in microseconds
     * @return the number of an attempt to abandon, or 0
     */
    public long restart(long now) {
        long before = pendingAttempt;
        pendingAttempt = NO_ATTEMPT;
        nextAttemptAt = now;
        return before;
    }

    /**
     * {@return the number of an attempt to open now, or 0}
     *
     * @param now the time, in microseconds
     */
    public long attemptToOpen(long now) {
        boolean silent = now - lastReceivedAt >= SILENCE_TIMEOUT_MICROS;
        if (pendingAttempt == NO_ATTEMPT && nextAttemptAt == NOT_SCHEDULED && silent) {
            nextAttemptAt = now;
        }
        if (pendingAttempt != NO_ATTEMPT || now < nextAttemptAt) {
            return NO_ATTEMPT;
        }
        nextAttemptAt = NOT_SCHEDULED;
        pendingAttempt = ++lastAttempt;
        attemptStartedAt = now;
        lastProgressAt = now;
        return pendingAttempt;
    }

    /**
     * {@return the number of a hung attempt to abandon now, or 0}
     *
     * @param now the time, in microseconds
     */
    public long attemptToAbandon(long now) {
        if (pendingAttempt == NO_ATTEMPT || now < abandonAt()) {
            return NO_ATTEMPT;
        }
        long hanging = pendingAttempt;
        pendingAttempt = NO_ATTEMPT;
        nextAttemptAt = now + backoff.nextDelayMicros();
        return hanging;
    }

    /**
     * Records that bytes were received on a watch. They keep an established watch alive. An attempt
     * replaces the established watch only after a complete message ({@link #messageReceived}), as
     * an attempt that stops in the middle of its first list has delivered nothing.
     *
     * @param now the time, in microseconds
     * @param number the number of the attempt that opened the watch
     */
    public void bytesReceived(long now, long number) {
        if (number == establishedWatch) {
            lastReceivedAt = now;
        }
        if (number == pendingAttempt) {
            lastProgressAt = now;
        }
    }

    /**
     * Records that a complete message or a heartbeat was received.
     *
     * @param now the time, in microseconds
     * @param number the number of the attempt that opened the watch
     * @return the number of a watch that is no longer needed, or 0
     */
    public long messageReceived(long now, long number) {
        bytesReceived(now, number);
        if (number != pendingAttempt) {
            return NO_ATTEMPT;
        }
        long before = establishedWatch;
        establishedWatch = pendingAttempt;
        pendingAttempt = NO_ATTEMPT;
        lastReceivedAt = now;
        backoff.reset();
        return before;
    }

    /** {@return whether this watch is established or being opened; all others are to be ignored} */
    public boolean isCurrent(long number) {
        return number == establishedWatch || number == pendingAttempt;
    }

    /**
     * Records that a watch ended or could not be opened.
     *
     * @param now the time, in microseconds
     * @param number the number of the attempt that opened the watch
     */
    public void watchEnded(long now, long number) {
        if (number == pendingAttempt) {
            pendingAttempt = NO_ATTEMPT;
            nextAttemptAt = now + backoff.nextDelayMicros();
        } else if (number == establishedWatch) {
            establishedWatch = NO_ATTEMPT;
            lastReceivedAt = now;
            if (pendingAttempt == NO_ATTEMPT && nextAttemptAt == NOT_SCHEDULED) {
                nextAttemptAt = now + backoff.nextDelayMicros();
            }
        }
    }

    /**
     * {@return when the pending attempt is abandoned, in microseconds} An attempt that keeps
     * receiving parts of its list may use the whole budget.
     */
    private long abandonAt() {
        return Math.min(
                lastProgressAt + ATTEMPT_TIMEOUT_MICROS, attemptStartedAt + UPDATE_BUDGET_MICROS);
    }

    /**
     * {@return when {@link #attemptToOpen} or {@link #attemptToAbandon} is next needed, in
     * microseconds}
     */
    public long nextDeadline() {
        if (pendingAttempt != NO_ATTEMPT) {
            return abandonAt();
        }
        return nextAttemptAt < NOT_SCHEDULED
                ? nextAttemptAt
                : lastReceivedAt + SILENCE_TIMEOUT_MICROS;
    }
}
