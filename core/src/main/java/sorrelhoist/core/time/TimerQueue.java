package sorrelhoist.core.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A queue of timers, ordered by due time and, among equal times, by the order of scheduling. Times
 * are given by the caller.
 *
 * @param <T> the type of the payload
 */
public final class TimerQueue<T> {
    private record Entry<T>(long at, long order, T payload) {}

    private final PriorityQueue<Entry<T>> queue =
            new PriorityQueue<>(
                    Comparator.<Entry<T>>comparingLong(Entry::at).thenComparingLong(Entry::order));
    private long scheduled;

    /** Creates an empty queue. */
    public TimerQueue() {}

    /**
     * Schedules a timer.
     *
     * @param at when the timer is due, in microseconds
     * @param payload the value that {@link #pollDue} returns
     */
    public void schedule(long at, T payload) {
        queue.add(new Entry<>(at, scheduled++, payload));
    }

    /** {@return when the first timer is due, in microseconds; Long.MAX_VALUE if there is none} */
    public long nextDueMicros() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().at();
    }

    /**
     * Removes the first timer that is due.
     *
     * @return its payload, or null if none is due
     */
    public T pollDue(long now) {
        return nextDueMicros() <= now ? queue.poll().payload() : null;
    }

    /** {@return the number of scheduled timers} */
    public int size() {
        return queue.size();
    }
}
