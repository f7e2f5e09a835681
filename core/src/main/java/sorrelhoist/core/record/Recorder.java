package sorrelhoist.core.record;

import java.util.List;
import java.util.function.Predicate;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Routing.Action;
import sorrelhoist.routing.Routing.Event;

/**
 * Puts what it hears into chunks, at once and in memory, and hands each chunk on when it is full or
 * old. Where the taker has no room, the chunk is dropped, its entries are counted, and the next one
 * says so: what is recorded never waits for a disk, and what is missing is never silent. One
 * thread.
 */
public final class Recorder implements DecisionListener {
    static final int CHUNK = 64 << 10;
    private static final long CHUNK_AGE =
            500_000; // what a kill costs at most, besides what the taker still has
    private final RecordEntry.Header head;
    private final Predicate<byte[]> taker;
    private final ChunkCodec.Writer writer = new ChunkCodec.Writer();
    private long next;
    private long begunAt = Long.MIN_VALUE;
    private long droppedEntries;

    /**
     * Makes one.
     *
     * @param head what the router is made of
     * @param taker takes chunks; false where it has no room
     */
    public Recorder(RecordEntry.Header head, Predicate<byte[]> taker) {
        this.head = head;
        this.taker = taker;
    }

    @Override
    public void onDecision(long at, Event event, List<Action> actions) {
        begin(at);
        writer.told(at, event, actions);
        end(at);
    }

    @Override
    public void onKnowledgeAdopted(long at, long age, Knowledge knowledge) {
        add(at, new RecordEntry.KnowledgeAdopted(at, age, knowledge));
    }

    @Override
    public void onRequestSubmitted(RecordEntry.RequestSubmitted a, String prompt) {
        add(
                a.at(),
                new RecordEntry.RequestSubmitted(
                        a.at(),
                        a.id(),
                        a.client(),
                        a.name(),
                        a.clientId(),
                        ChunkCodec.hash(prompt),
                        a.timeoutMicros(),
                        a.fromToken()));
    }

    @Override
    public void onRequestCompleted(RecordEntry.RequestCompleted answered) {
        add(answered.at(), answered);
    }

    /** Marks a place. */
    public void addMarker(long at, String text) {
        add(at, new RecordEntry.Marker(at, text));
    }

    private void add(long at, RecordEntry entry) {
        begin(at);
        writer.entry(entry);
        end(at);
    }

    private void begin(long at) {
        if (begunAt == Long.MIN_VALUE) {
            begunAt = at;
            writer.begin(next, head);
            if (droppedEntries > 0) {
                writer.entry(new RecordEntry.EntriesDropped(droppedEntries));
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
            int entries = writer.entries() - (droppedEntries > 0 ? 1 : 0);
            next += entries;
            droppedEntries = taker.test(writer.end()) ? 0 : droppedEntries + entries;
            begunAt = Long.MIN_VALUE;
        }
    }

    /** {@return when {@link #flush} is due by age; Long.MAX_VALUE where there is nothing} */
    public long flushDueAt() {
        return begunAt == Long.MIN_VALUE ? Long.MAX_VALUE : begunAt + CHUNK_AGE;
    }

    /** {@return entries that were dropped since the last chunk that was taken} */
    public long droppedEntries() {
        return droppedEntries;
    }
}
