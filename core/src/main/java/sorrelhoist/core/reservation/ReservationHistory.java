package sorrelhoist.core.reservation;

import java.util.ArrayDeque;
import java.util.StringJoiner;

/**
 * What happened to one reservation, oldest first: for the log alone. Bounded: its first entries are
 * kept, and of the others the latest.
 */
final class ReservationHistory {
    private static final int FIRST_ENTRIES = 8;
    private static final int LATEST_ENTRIES = 16;
    private static final long MICROS_PER_MILLI = 1000;

    private record Entry(long at, ReservationStep step, String engine) {}

    private final ArrayDeque<Entry> first = new ArrayDeque<>(FIRST_ENTRIES);
    private final ArrayDeque<Entry> latest = new ArrayDeque<>();
    private int leftOut;

    /**
     * Something happened.
     *
     * @param step what
     * @param engine the engine that it concerns; empty for none
     * @param now the time, microseconds
     */
    void add(ReservationStep step, String engine, long now) {
        Entry entry = new Entry(now, step, engine);
        if (first.size() < FIRST_ENTRIES) {
            first.addLast(entry);
            return;
        }
        if (latest.size() == LATEST_ENTRIES) {
            latest.pollFirst();
            leftOut++;
        }
        latest.addLast(entry);
    }

    /** {@return steps with their milliseconds since the first, separated by commas} */
    @Override
    public String toString() {
        StringJoiner text = new StringJoiner(",");
        first.forEach(entry -> text.add(format(entry)));
        if (leftOut > 0) {
            text.add("(" + leftOut + " left out)");
        }
        latest.forEach(entry -> text.add(format(entry)));
        return text.toString();
    }

    private String format(Entry entry) {
        long millis = (entry.at() - first.getFirst().at()) / MICROS_PER_MILLI;
        String engine = entry.engine().isEmpty() ? "" : "@" + entry.engine();
        return "+" + millis + ":" + entry.step().label() + engine;
    }
}
