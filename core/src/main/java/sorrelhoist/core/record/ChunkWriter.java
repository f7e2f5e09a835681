package sorrelhoist.core.record;

import java.util.List;
import sorrelhoist.routing.RoutingActions;
import sorrelhoist.routing.RoutingEvents;

/** Encodes one chunk after another in the format of {@link ChunkCodec}. */
final class ChunkWriter {
    private final StringTable strings = new StringTable();
    private final BinaryWriter out = new BinaryWriter();
    private int entries;

    /**
     * Begins a chunk and discards the content of the previous one.
     *
     * @param firstNumber number of the chunk's first entry
     * @param header header of the recording
     */
    void begin(long firstNumber, RecordEntry.Header header) {
        out.truncate(0);
        strings.clear();
        out.writeVarint(firstNumber);
        writeTagged(header);
        entries = 0;
    }

    /** {@return the size of the current chunk's content, in bytes} */
    int size() {
        return out.size();
    }

    /** {@return the number of entries in the current chunk, without its header} */
    int entryCount() {
        return entries;
    }

    /**
     * Writes a {@link RecordEntry.Decision} without allocating one, as decisions are by far the
     * most frequent entries.
     */
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

    /**
     * Ends the chunk. {@return the chunk with its length and checksum, ready to be appended to a
     * file}
     */
    byte[] end() {
        int length = out.size();
        return new BinaryWriter()
                .writeInt(length)
                .writeLong(ChunkCodec.checksum(out.array(), 0, length))
                .writeBytes(out.array(), length)
                .toByteArray();
    }

    /**
     * {@return the stored form of one event or action, outside of a chunk; values that differ only
     * in details that a record does not store have equal bytes}
     */
    static byte[] encode(Record value) {
        ChunkWriter writer = new ChunkWriter();
        writer.writeTagged(value);
        return writer.out.toByteArray();
    }
}
