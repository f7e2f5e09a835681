package sorrelhoist.core.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Things due at a time, in the order of their times and, among equals, of their setting. Time is
 * the caller's.
 *
 * @param <T> what is due
 */
public final class TimerQueue<T> {
    private record Entry<T>(long at, long order, T what) {}

    private final PriorityQueue<Entry<T>> queue =
            new PriorityQueue<>(
                    Comparator.<Entry<T>>comparingLong(Entry::at).thenComparingLong(Entry::order));
    private long schedule;

    /** Makes an empty set. */
    public TimerQueue() {}

    /**
     * Sets an alarm.
     *
     * @param at microseconds
     * @param what handed back by {@link #pollDue}
     */
    public void schedule(long at, T what) {
        queue.add(new Entry<>(at, schedule++, what));
    }

    /** {@return the time of the first, or Long.MAX_VALUE} */
    public long nextDueMicros() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().at();
    }

    /** {@return the first that is due, taken out, or null} */
    public T pollDue(long now) {
        return nextDueMicros() <= now ? queue.poll().what() : null;
    }

    /** {@return how many are set} */
    public int size() {
        return queue.size();
    }
}
