package sorrelhoist.core.members;

import sorrelhoist.core.time.Backoff;

/**
 * When a watch of the list of servers is taken for silent, and when the next is opened. All its
 * times come from one budget: what a silent watch misses counts as told {@link #UPDATE_BUDGET}
 * after it fell silent, whether it arrived or not. Within that the silence is noticed, two attempts
 * may hang, and a third still brings the list. A watch that fell silent is left open until another
 * has spoken: it may speak again. Without I/O, clock or threads; attempts have numbers above 0.
 */
public final class WatchReconnectPolicy {
    /** In which a silent watch has to be replaced, and its news received; microseconds. */
    public static final long UPDATE_BUDGET = 6_000_000;

    /** Between two signs of life of a watch. */
    private static final long HEARTBEAT = 2_000_000;

    /**
     * Without a sign of life after which a watch counts as silent: a heartbeat that comes late is
     * none that is lost.
     */
    static final long SILENCE = HEARTBEAT + 600_000;

    /**
     * For an attempt to connect and to bring its first list, and between two parts of that list.
     */
    static final long ATTEMPT = 1_000_000;

    /**
     * The longest pause before an attempt: what is left of the budget, but for the last attempt's
     * own list.
     */
    static final long PAUSE = (UPDATE_BUDGET - SILENCE - 2 * ATTEMPT - ATTEMPT / 2) / 3;

    /**
     * After which a start without a list goes on with the one that was handed down: two attempts
     * hung.
     */
    public static final long FIRST_LIST_TIMEOUT = 2 * ATTEMPT + PAUSE;

    private static final long FIRST_PAUSE = 50_000;
    private final Backoff pauses;
    private long made;
    private long held;
    private long heardAt;
    private long attempt;
    private long attemptAt;
    private long progressAt;
    private long openAt = Long.MAX_VALUE;

    /**
     * Makes one that has not begun.
     *
     * @param seed of the pauses' random half: many routers lose their watches at once
     */
    public WatchReconnectPolicy(long seed) {
        pauses = new Backoff(FIRST_PAUSE, PAUSE, seed);
    }

    /**
     * Begins, or begins anew at another address: the next attempt is due at once. {@return one to
     * give up, or 0}
     */
    public long restart(long now) {
        long before = attempt;
        attempt = 0;
        openAt = now;
        return before;
    }

    /** {@return the number of an attempt to open now, or 0} */
    public long attemptToOpen(long now) {
        if (attempt == 0 && openAt == Long.MAX_VALUE && now - heardAt >= SILENCE) {
            openAt = now;
        }
        if (attempt != 0 || now < openAt) {
            return 0;
        }
        openAt = Long.MAX_VALUE;
        attempt = ++made;
        attemptAt = now;
        progressAt = now;
        return attempt;
    }

    /** {@return the number of an attempt that hangs and is given up now, or 0} */
    public long attemptToAbandon(long now) {
        if (attempt == 0 || now < givenUpAt()) {
            return 0;
        }
        long hanging = attempt;
        attempt = 0;
        openAt = now + pauses.nextDelayMicros();
        return hanging;
    }

    /**
     * Bytes came on a watch. They keep a watch alive that is in use; an attempt replaces it with a
     * whole message alone ({@link #messageReceived}), as one that stops in the middle of its first
     * list has brought nothing yet.
     */
    public void bytesReceived(long now, long number) {
        if (number == held) {
            heardAt = now;
        }
        if (number == attempt) {
            progressAt = now;
        }
    }

    /**
     * A whole message or a heartbeat came. {@return the number of a watch that is not needed any
     * more, or 0}
     */
    public long messageReceived(long now, long number) {
        bytesReceived(now, number);
        if (number != attempt) {
            return 0;
        }
        long before = held;
        held = attempt;
        attempt = 0;
        heardAt = now;
        pauses.reset();
        return before;
    }

    /** {@return whether what this watch says is still wanted} */
    public boolean isCurrent(long number) {
        return number == held || number == attempt;
    }

    /** A watch ended, or could not be opened. */
    public void watchEnded(long now, long number) {
        if (number == attempt) {
            attempt = 0;
            openAt = now + pauses.nextDelayMicros();
        } else if (number == held) {
            held = 0;
            heardAt = now;
            if (attempt == 0 && openAt == Long.MAX_VALUE) {
                openAt = now + pauses.nextDelayMicros();
            }
        }
    }

    /**
     * An attempt may hang so long; one whose list still comes, part by part, has the whole budget.
     */
    private long givenUpAt() {
        return Math.min(progressAt + ATTEMPT, attemptAt + UPDATE_BUDGET);
    }

    /** {@return when {@link #attemptToOpen} or {@link #attemptToAbandon} is next needed} */
    public long nextDeadline() {
        return attempt != 0 ? givenUpAt() : openAt < Long.MAX_VALUE ? openAt : heardAt + SILENCE;
    }
}
