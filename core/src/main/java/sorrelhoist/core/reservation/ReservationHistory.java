package sorrelhoist.core.reservation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.StringJoiner;

/**
 * The events of one reservation, oldest first; used for logging only. The size is bounded: it keeps
 * the first entries, and of the others the latest that fit into a log line.
 */
final class ReservationHistory {
    private static final int FIRST_ENTRIES = 2;
    private static final int LATEST_ENTRIES = 16;

    /** The log truncates long lines at the end, and other fields precede the history. */
    private static final int MAX_CHARACTERS = 270;

    private static final int OMISSION_CHARACTERS = ",(999 left out)".length();
    private static final long MICROS_PER_MILLI = 1000;

    private record Entry(long at, ReservationStep step, String engine) {}

    private final ArrayDeque<Entry> first = new ArrayDeque<>(FIRST_ENTRIES);
    private final ArrayDeque<Entry> latest = new ArrayDeque<>();
    private int omittedEntries;

    /**
     * Records an event.
     *
     * @param step the event
     * @param engine the engine concerned; empty if none
     * @param now the time, in microseconds
     */
    void add(ReservationStep step, String engine, long now) {
        Entry entry = new Entry(now, step, engine);
        if (first.size() < FIRST_ENTRIES) {
            first.addLast(entry);
            return;
        }
        if (latest.size() == LATEST_ENTRIES) {
            latest.pollFirst();
            omittedEntries++;
        }
        latest.addLast(entry);
    }

    /** {@return the steps, each with the milliseconds since the first one, separated by commas} */
    @Override
    public String toString() {
        StringJoiner text = new StringJoiner(",");
        first.forEach(entry -> text.add(format(entry)));
        Deque<String> end = latestThatFit(MAX_CHARACTERS - OMISSION_CHARACTERS - text.length());
        int omitted = omittedEntries + latest.size() - end.size();
        if (omitted > 0) {
            text.add("(" + omitted + " left out)");
        }
        end.forEach(text::add);
        return text.toString();
    }

    /** {@return the latest entries that fit into {@code characters} characters, oldest first} */
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
