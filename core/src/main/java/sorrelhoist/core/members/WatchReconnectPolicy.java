package sorrelhoist.core.members;

import sorrelhoist.core.time.Backoff;

/**
 * Decides when a watch of the list of servers counts as silent, and when the next one is opened.
 * All its times come from one budget: what a silent watch misses counts as announced {@link
 * #UPDATE_BUDGET_MICROS} after it fell silent, whether it arrived or not. Within that the silence
 * is noticed, two attempts may hang, and a third still brings the list. A watch that fell silent
 * stays open until another has brought a message: it may recover.
 *
 * <p>Attempts have numbers above 0; 0 stands for none. Times are microseconds.
 */
public final class WatchReconnectPolicy {
    /** Within which a silent watch is replaced, and its updates received; microseconds. */
    public static final long UPDATE_BUDGET_MICROS = 6_000_000;

    /** Between two heartbeats of a watch. */
    private static final long HEARTBEAT_INTERVAL = 2_000_000;

    /** Without bytes for this long a watch counts as silent: a heartbeat may come late. */
    static final long SILENCE_TIMEOUT = HEARTBEAT_INTERVAL + 600_000;

    /** To connect and receive the first list, and between two parts of that list. */
    static final long ATTEMPT_TIMEOUT = 1_000_000;

    /** What is left of the budget after silence, two attempts and the last attempt's own list. */
    static final long MAX_BACKOFF =
            (UPDATE_BUDGET_MICROS - SILENCE_TIMEOUT - 2 * ATTEMPT_TIMEOUT - ATTEMPT_TIMEOUT / 2)
                    / 3;

    /**
     * After which a start without a list goes on with the one that was saved, in microseconds: two
     * attempts hung.
     */
    public static final long FIRST_LIST_TIMEOUT_MICROS = 2 * ATTEMPT_TIMEOUT + MAX_BACKOFF;

    private static final long MIN_BACKOFF = 50_000;
    private static final long NOT_SCHEDULED = Long.MAX_VALUE;
    private static final long NONE = 0;

    private final Backoff backoff;
    private long lastAttempt;
    private long establishedWatch;
    private long lastHeardAt;
    private long pendingAttempt;
    private long attemptStartedAt;
    private long lastProgressAt;
    private long nextAttemptAt = NOT_SCHEDULED;

    /**
     * Creates a policy that has not begun.
     *
     * @param seed of the backoff's random half: many routers lose their watches at once
     */
    public WatchReconnectPolicy(long seed) {
        backoff = new Backoff(MIN_BACKOFF, MAX_BACKOFF, seed);
    }

    /**
     * Begins, or begins anew at another address: the next attempt is due at once.
     *
     * @param now microseconds
     * @return the number of an attempt to abandon, or 0
     */
    public long restart(long now) {
        long before = pendingAttempt;
        pendingAttempt = NONE;
        nextAttemptAt = now;
        return before;
    }

    /**
     * {@return the number of an attempt to open now, or 0}
     *
     * @param now microseconds
     */
    public long attemptToOpen(long now) {
        boolean silent = now - lastHeardAt >= SILENCE_TIMEOUT;
        if (pendingAttempt == NONE && nextAttemptAt == NOT_SCHEDULED && silent) {
            nextAttemptAt = now;
        }
        if (pendingAttempt != NONE || now < nextAttemptAt) {
            return NONE;
        }
        nextAttemptAt = NOT_SCHEDULED;
        pendingAttempt = ++lastAttempt;
        attemptStartedAt = now;
        lastProgressAt = now;
        return pendingAttempt;
    }

    /**
     * {@return the number of an attempt that hangs and is abandoned now, or 0}
     *
     * @param now microseconds
     */
    public long attemptToAbandon(long now) {
        if (pendingAttempt == NONE || now < abandonAt()) {
            return NONE;
        }
        long hanging = pendingAttempt;
        pendingAttempt = NONE;
        nextAttemptAt = now + backoff.nextDelayMicros();
        return hanging;
    }

    /**
     * Bytes came on a watch. They keep an established watch alive; an attempt replaces it only with
     * a complete message ({@link #messageReceived}), as one that stops in the middle of its first
     * list has brought nothing yet.
     *
     * @param now microseconds
     * @param number of the attempt that opened the watch
     */
    public void bytesReceived(long now, long number) {
        if (number == establishedWatch) {
            lastHeardAt = now;
        }
        if (number == pendingAttempt) {
            lastProgressAt = now;
        }
    }

    /**
     * A complete message or a heartbeat came.
     *
     * @param now microseconds
     * @param number of the attempt that opened the watch
     * @return the number of a watch that is not needed any more, or 0
     */
    public long messageReceived(long now, long number) {
        bytesReceived(now, number);
        if (number != pendingAttempt) {
            return NONE;
        }
        long before = establishedWatch;
        establishedWatch = pendingAttempt;
        pendingAttempt = NONE;
        lastHeardAt = now;
        backoff.reset();
        return before;
    }

    /** {@return whether this watch is established or being opened; others are ignored} */
    public boolean isCurrent(long number) {
        return number == establishedWatch || number == pendingAttempt;
    }

    /**
     * A watch ended, or could not be opened.
     *
     * @param now microseconds
     * @param number of the attempt that opened the watch
     */
    public void watchEnded(long now, long number) {
        if (number == pendingAttempt) {
            pendingAttempt = NONE;
            nextAttemptAt = now + backoff.nextDelayMicros();
        } else if (number == establishedWatch) {
            establishedWatch = NONE;
            lastHeardAt = now;
            if (pendingAttempt == NONE && nextAttemptAt == NOT_SCHEDULED) {
                nextAttemptAt = now + backoff.nextDelayMicros();
            }
        }
    }

    /** An attempt whose list still comes, part by part, has the whole budget. */
    private long abandonAt() {
        return Math.min(lastProgressAt + ATTEMPT_TIMEOUT, attemptStartedAt + UPDATE_BUDGET_MICROS);
    }

    /** {@return when {@link #attemptToOpen} or {@link #attemptToAbandon} is next needed} */
    public long nextDeadline() {
        if (pendingAttempt != NONE) {
            return abandonAt();
        }
        return nextAttemptAt < NOT_SCHEDULED ? nextAttemptAt : lastHeardAt + SILENCE_TIMEOUT;
    }
}
