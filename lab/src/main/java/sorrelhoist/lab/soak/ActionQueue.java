package sorrelhoist.lab.soak;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** Actions that are due at a time; those due at the same time run in the order of their coming. */
final class ActionQueue {
    /** What is done when it is due. */
    interface Action {
        void run() throws Exception;
    }

    private record Entry(long dueAt, long number, Action action) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            return dueAt != other.dueAt
                    ? Long.compare(dueAt, other.dueAt)
                    : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Entry> entries = new PriorityQueue<>();
    private long count;

    /** Adds an action that is due after so many milliseconds from now. */
    void schedule(long delayMillis, Action action) {
        long dueAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
        entries.add(new Entry(dueAt, count, action));
        count++;
    }

    /** Runs what is due. */
    void runDue() throws Exception {
        while (!entries.isEmpty() && entries.peek().dueAt() <= System.nanoTime()) {
            entries.poll().action().run();
        }
    }
}
