package sorrelhoist.core.record;

import java.util.List;
import java.util.function.Predicate;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingEvents.Event;

/**
 * Encodes notifications into chunks immediately and in memory, and passes each chunk to a sink when
 * it is full or old. If the sink has no room, the chunk is dropped, its entries are counted, and
 * the next chunk begins with their number, an {@link RecordEntry.EntriesDropped}. Recording
 * therefore never waits for a disk, and every gap is visible. Not thread-safe.
 */
public final class Recorder implements DecisionListener {
    /** Size at which a chunk is passed to the sink. */
    static final int FLUSH_BYTES = 64 << 10;

    /**
     * Age at which a chunk is passed to the sink. A killed process loses the entries of up to this
     * time, and those that the sink has not written yet.
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
     * @param header build and configuration of the router
     * @param sink takes a chunk and returns true, or returns false if it has no room
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
     * Adds a note for later searches.
     *
     * @param at time of the note, in microseconds
     * @param text text of the note
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
        if (chunk.size() >= FLUSH_BYTES || at - chunkBegunAt >= MAX_CHUNK_AGE_MICROS) {
            flush();
        }
    }

    /** Passes the current chunk, if there is one, to the sink. */
    public void flush() {
        if (chunkBegunAt == NO_CHUNK) {
            return;
        }
        // EntriesDropped itself has no number.
        int numbered = chunk.entryCount() - (droppedEntries > 0 ? 1 : 0);
        nextNumber += numbered;
        droppedEntries = sink.test(chunk.end()) ? 0 : droppedEntries + numbered;
        chunkBegunAt = NO_CHUNK;
    }

    /**
     * {@return the time at which the current chunk's age requires a {@link #flush}, in
     * microseconds; Long.MAX_VALUE if there is no chunk}
     */
    public long flushDueAt() {
        return chunkBegunAt == NO_CHUNK ? Long.MAX_VALUE : chunkBegunAt + MAX_CHUNK_AGE_MICROS;
    }

    /** {@return the number of entries dropped since the sink last accepted a chunk} */
    public long droppedEntries() {
        return droppedEntries;
    }
}
