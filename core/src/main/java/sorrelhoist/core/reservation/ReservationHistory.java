package sorrelhoist.core.reservation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.StringJoiner;

/**
 * What happened to one reservation, oldest first: for the log alone. Bounded: its first entries are
 * kept, and of the others the latest that fit into a line of the log.
 */
final class ReservationHistory {
    private static final int FIRST_ENTRIES = 2;
    private static final int LATEST_ENTRIES = 16;

    /** The log cuts lines off at their end; other fields stand in front of this. */
    private static final int MAX_CHARACTERS = 270;

    private static final int CHARACTERS_OF_OMISSION = ",(999 left out)".length();
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
        Deque<String> end = latestThatFit(MAX_CHARACTERS - CHARACTERS_OF_OMISSION - text.length());
        int omitted = leftOut + latest.size() - end.size();
        if (omitted > 0) {
            text.add("(" + omitted + " left out)");
        }
        end.forEach(text::add);
        return text.toString();
    }

    /** {@return the latest entries that fit into so many characters, oldest first} */
    private Deque<String> latestThatFit(int characters) {
        Deque<String> fitting = new ArrayDeque<>();
        int left = characters;
        for (Iterator<Entry> newestFirst = latest.descendingIterator(); newestFirst.hasNext(); ) {
            String text = format(newestFirst.next());
            left -= text.length() + 1;
            if (left < 0) {
                break;
            }
            fitting.addFirst(text);
        }
        return fitting;
    }

    private String format(Entry entry) {
        long millis = (entry.at() - first.getFirst().at()) / MICROS_PER_MILLI;
        String engine = entry.engine().isEmpty() ? "" : "@" + entry.engine();
        return "+" + millis + ":" + entry.step().label() + engine;
    }
}
