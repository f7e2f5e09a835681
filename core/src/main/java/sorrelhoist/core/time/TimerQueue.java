package sorrelhoist.core.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Timers in the order of their times and, among equals, of their scheduling. Time is the caller's.
 *
 * @param <T> what a timer hands back
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
     * @param at when it is due, in microseconds
     * @param payload handed back by {@link #pollDue}
     */
    public void schedule(long at, T payload) {
        queue.add(new Entry<>(at, scheduled++, payload));
    }

    /** {@return when the first is due, or Long.MAX_VALUE} */
    public long nextDueMicros() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().at();
    }

    /** {@return the first that is due, taken out, or null} */
    public T pollDue(long now) {
        return nextDueMicros() <= now ? queue.poll().payload() : null;
    }

    /** {@return how many are scheduled} */
    public int size() {
        return queue.size();
    }
}
