package sorrelhoist.core.record;

import java.util.List;
import java.util.function.Predicate;
import sorrelhoist.Knowledge;
import sorrelhoist.Routing.Action;
import sorrelhoist.Routing.Event;

/**
 * Puts what it hears into chunks, at once and in memory, and hands each chunk on when it is full or
 * old. Where the taker has no room, the chunk is dropped, its entries are counted, and the next one
 * says so: what is recorded never waits for a disk, and what is missing is never silent. One
 * thread.
 */
public final class Recorder implements Tap {
    static final int CHUNK = 64 << 10;
    private static final long CHUNK_AGE =
            500_000; // what a kill costs at most, besides what the taker still has
    private final Entry.Started head;
    private final Predicate<byte[]> taker;
    private final Chunks.Writer writer = new Chunks.Writer();
    private long next;
    private long begunAt = Long.MIN_VALUE;
    private long lost;

    /**
     * Makes one.
     *
     * @param head what the router is made of
     * @param taker takes chunks; false where it has no room
     */
    public Recorder(Entry.Started head, Predicate<byte[]> taker) {
        this.head = head;
        this.taker = taker;
    }

    @Override
    public void told(long at, Event event, List<Action> actions) {
        begin(at);
        writer.told(at, event, actions);
        end(at);
    }

    @Override
    public void taught(long at, long age, Knowledge knowledge) {
        add(at, new Entry.Taught(at, age, knowledge));
    }

    @Override
    public void asked(Entry.Asked a, String prompt) {
        add(
                a.at(),
                new Entry.Asked(
                        a.at(),
                        a.id(),
                        a.client(),
                        a.name(),
                        a.clientId(),
                        Chunks.hash(prompt),
                        a.timeoutMicros(),
                        a.fromToken()));
    }

    @Override
    public void answered(Entry.Answered answered) {
        add(answered.at(), answered);
    }

    /** Marks a place. */
    public void mark(long at, String text) {
        add(at, new Entry.Marked(at, text));
    }

    private void add(long at, Entry entry) {
        begin(at);
        writer.entry(entry);
        end(at);
    }

    private void begin(long at) {
        if (begunAt == Long.MIN_VALUE) {
            begunAt = at;
            writer.begin(next, head);
            if (lost > 0) {
                writer.entry(new Entry.Lost(lost));
            }
        }
    }

    private void end(long at) {
        if (writer.size() >= CHUNK || at - begunAt >= CHUNK_AGE) {
            flush();
        }
    }

    /** Hands on what there is. */
    public void flush() {
        if (begunAt != Long.MIN_VALUE) {
            int entries = writer.entries() - (lost > 0 ? 1 : 0);
            next += entries;
            lost = taker.test(writer.end()) ? 0 : lost + entries;
            begunAt = Long.MIN_VALUE;
        }
    }

    /** {@return when {@link #flush} is due by age; Long.MAX_VALUE where there is nothing} */
    public long flushAt() {
        return begunAt == Long.MIN_VALUE ? Long.MAX_VALUE : begunAt + CHUNK_AGE;
    }

    /** {@return entries that were dropped since the last chunk that was taken} */
    public long lost() {
        return lost;
    }
}
