package sorrelhoist.core.record;

import java.util.List;
import java.util.function.Predicate;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingEvents.Event;

/**
 * Encodes what it is notified of into chunks, at once and in memory, and hands each chunk on when
 * it is full or old. Where the sink has no room, the chunk is dropped, its entries are counted, and
 * the next chunk begins with their number: recording never waits for a disk, and a gap always
 * shows. For one thread.
 */
public final class Recorder implements DecisionListener {
    /** Bytes after which a chunk is handed on. */
    static final int CHUNK_BYTES = 64 << 10;

    /**
     * After which a chunk is handed on: a killed process loses this and what the sink still has.
     */
    private static final long MAX_CHUNK_AGE_MICROS = 500_000;

    private static final long NO_CHUNK = Long.MIN_VALUE;

    private final RecordEntry.Header header;
    private final Predicate<byte[]> sink;
    private final ChunkWriter chunk = new ChunkWriter();
    private long nextNumber;
    private long chunkBegunAt = NO_CHUNK;
    private long droppedEntries;

    /**
     * Creates a recorder.
     *
     * @param header how the router was built and configured
     * @param sink takes chunks; false where it has no room
     */
    public Recorder(RecordEntry.Header header, Predicate<byte[]> sink) {
        this.header = header;
        this.sink = sink;
    }

    @Override
    public void onDecision(long at, Event event, List<Action> actions) {
        beginChunkIfNone(at);
        chunk.writeDecision(at, event, actions);
        flushIfDue(at);
    }

    @Override
    public void onKnowledgeAdopted(long at, long age, Knowledge knowledge) {
        add(at, new RecordEntry.KnowledgeAdopted(at, age, knowledge));
    }

    @Override
    public void onRequestSubmitted(RecordEntry.RequestSubmitted request, String prompt) {
        add(
                request.at(),
                new RecordEntry.RequestSubmitted(
                        request.at(),
                        request.id(),
                        request.client(),
                        request.name(),
                        request.clientId(),
                        ChunkCodec.textHash(prompt),
                        request.timeoutMicros(),
                        request.fromToken()));
    }

    @Override
    public void onRequestCompleted(RecordEntry.RequestCompleted completion) {
        add(completion.at(), completion);
    }

    /**
     * Adds a note that somebody may search for.
     *
     * @param at when, in microseconds
     * @param text the note
     */
    public void addMarker(long at, String text) {
        add(at, new RecordEntry.Marker(at, text));
    }

    private void add(long at, RecordEntry entry) {
        beginChunkIfNone(at);
        chunk.write(entry);
        flushIfDue(at);
    }

    private void beginChunkIfNone(long at) {
        if (chunkBegunAt != NO_CHUNK) {
            return;
        }
        chunkBegunAt = at;
        chunk.begin(nextNumber, header);
        if (droppedEntries > 0) {
            chunk.write(new RecordEntry.EntriesDropped(droppedEntries));
        }
    }

    private void flushIfDue(long at) {
        if (chunk.size() >= CHUNK_BYTES || at - chunkBegunAt >= MAX_CHUNK_AGE_MICROS) {
            flush();
        }
    }

    /** Hands on the chunk that is being filled, if there is one. */
    public void flush() {
        if (chunkBegunAt == NO_CHUNK) {
            return;
        }
        // The entry that counts dropped ones has no number of its own.
        int numbered = chunk.entryCount() - (droppedEntries > 0 ? 1 : 0);
        nextNumber += numbered;
        droppedEntries = sink.test(chunk.end()) ? 0 : droppedEntries + numbered;
        chunkBegunAt = NO_CHUNK;
    }

    /** {@return when {@link #flush} is due by age, in microseconds; Long.MAX_VALUE for never} */
    public long flushDueAt() {
        return chunkBegunAt == NO_CHUNK ? Long.MAX_VALUE : chunkBegunAt + MAX_CHUNK_AGE_MICROS;
    }

    /** {@return entries that were dropped since the last chunk that the sink took} */
    public long droppedEntries() {
        return droppedEntries;
    }
}
