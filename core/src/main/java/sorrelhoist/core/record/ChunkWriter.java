package sorrelhoist.core.record;

import java.util.List;
import sorrelhoist.routing.RoutingActions;
import sorrelhoist.routing.RoutingEvents;

/** Encodes one chunk after the other; see {@link ChunkCodec} for their form. */
final class ChunkWriter {
    private final StringTable strings = new StringTable();
    private final BinaryWriter out = new BinaryWriter();
    private int entries;

    /**
     * Begins a chunk.
     *
     * @param firstNumber number of its first entry
     * @param header of the recording
     */
    void begin(long firstNumber, RecordEntry.Header header) {
        out.truncate(0);
        strings.clear();
        out.writeVarint(firstNumber);
        writeTagged(header);
        entries = 0;
    }

    /** {@return bytes that the chunk has so far} */
    int size() {
        return out.size();
    }

    /** {@return entries that the chunk has so far, its header not counted} */
    int entryCount() {
        return entries;
    }

    /** Writes a {@link RecordEntry.Decision} without making one: this is by far the commonest. */
    void writeDecision(long at, RoutingEvents.Event event, List<RoutingActions.Action> actions) {
        out.writeByte(EntryTags.DECISION);
        int start = out.beginBlock();
        out.writeSignedVarint(at);
        writeTagged(event);
        out.writeVarint(actions.size());
        for (int i = 0; i < actions.size(); i++) {
            writeTagged(actions.get(i));
        }
        out.endBlock(start);
        entries++;
    }

    void write(RecordEntry entry) {
        if (entry instanceof RecordEntry.Decision decision) {
            writeDecision(decision.at(), decision.event(), decision.actions());
        } else {
            writeTagged(entry);
            entries++;
        }
    }

    private void writeTagged(Object value) {
        Class<? extends Record> type = value.getClass().asSubclass(Record.class);
        out.writeByte(EntryTags.of(type));
        int start = out.beginBlock();
        RecordCodec.of(type).write(out, value, strings);
        out.endBlock(start);
    }

    /** Ends the chunk. {@return its bytes, as they are appended to a file} */
    byte[] end() {
        int length = out.size();
        return new BinaryWriter()
                .writeInt(length)
                .writeLong(ChunkCodec.checksum(out.array(), 0, length))
                .writeBytes(out.array(), length)
                .toByteArray();
    }

    /** {@return the bytes of one event or action, which are equal where a record holds equals} */
    static byte[] encode(Record value) {
        ChunkWriter writer = new ChunkWriter();
        writer.writeTagged(value);
        return writer.out.toByteArray();
    }
}
