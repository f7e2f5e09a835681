package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.routing.RoutingActions;
import sorrelhoist.routing.RoutingEvents;

/** Decodes segment files, whose format {@link ChunkCodec} describes. */
final class SegmentReader {
    private final byte[] file;
    private final BinaryReader in;
    private final List<Chunk> chunks = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();

    private SegmentReader(byte[] file, int from) {
        this.file = file;
        this.in = new BinaryReader(file, from, file.length);
    }

    /** Decodes a file. Invalid content causes no exception but is reported in the faults. */
    static DecodedSegment read(byte[] file) {
        byte[] header = ChunkCodec.fileHeader();
        int common = Math.min(file.length, header.length);
        for (int i = 0; i < common; i++) {
            if (file[i] != header[i]) {
                boolean otherVersion = i == header.length - 1;
                return otherVersion
                        ? DecodedSegment.rejected("unsupported version of the record format", false)
                        : DecodedSegment.rejected("not a record of this program", true);
            }
        }
        SegmentReader reader = new SegmentReader(file, header.length);
        reader.readChunks();
        return new DecodedSegment(reader.chunks, reader.faults, false);
    }

    private void readChunks() {
        try {
            while (in.remaining() >= ChunkCodec.FRAME_HEADER_BYTES && readFrame()) {
                // Reads up to the end, or up to a frame that cannot be skipped.
            }
        } catch (CorruptRecordException e) {
            faults.add(e.getMessage());
        }
    }

    /** Reads one chunk with its frame header. {@return whether the next frame can be located} */
    private boolean readFrame() throws CorruptRecordException {
        int start = in.position();
        int length = in.readInt();
        long checksum = in.readLong();
        if (length <= 0 || length > ChunkCodec.MAX_CHUNK_BYTES) {
            faults.add(
                    "invalid chunk length "
                            + length
                            + " at offset "
                            + start
                            + "; the rest of the file cannot be read");
            return false;
        }
        if (length > in.remaining()) {
            return false;
        }
        int from = in.position();
        BinaryReader content = in.slice(length);
        if (ChunkCodec.checksum(file, from, length) != checksum) {
            faults.add("checksum mismatch in a chunk of " + length + " bytes at offset " + start);
            return true;
        }
        try {
            chunks.add(readChunk(content));
        } catch (CorruptRecordException e) {
            faults.add("the chunk at offset " + start + ": " + e.getMessage());
        }
        return true;
    }

    private static Chunk readChunk(BinaryReader in) throws CorruptRecordException {
        StringTable strings = new StringTable();
        long firstNumber = in.readVarint();
        List<RecordEntry> entries = new ArrayList<>();
        RecordEntry.Header header = null;
        while (in.remaining() > 0) {
            RecordEntry entry = readEntry(in, strings);
            if (header != null) {
                entries.add(entry);
            } else if (entry instanceof RecordEntry.Header first) {
                header = first;
            } else {
                throw new CorruptRecordException("its first entry is not a header");
            }
        }
        if (header == null) {
            throw new CorruptRecordException("it contains no entries");
        }
        return new Chunk(firstNumber, header, entries);
    }

    private static RecordEntry readEntry(BinaryReader in, StringTable strings)
            throws CorruptRecordException {
        int tag = in.readByte();
        BinaryReader content = in.readBlock();
        return tag == EntryTags.DECISION
                ? readDecision(content, strings)
                : readTagged(EntryTags.ENTRIES, tag, content, strings);
    }

    private static RecordEntry.Decision readDecision(BinaryReader in, StringTable strings)
            throws CorruptRecordException {
        long at = in.readSignedVarint();
        RoutingEvents.Event event =
                readTagged(EntryTags.EVENTS, in.readByte(), in.readBlock(), strings);
        int count = in.readLength(2);
        List<RoutingActions.Action> actions = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            actions.add(readTagged(EntryTags.ACTIONS, in.readByte(), in.readBlock(), strings));
        }
        return new RecordEntry.Decision(at, event, actions);
    }

    private static <T> T readTagged(
            List<Class<? extends T>> types, int tag, BinaryReader in, StringTable strings)
            throws CorruptRecordException {
        if (tag >= types.size()) {
            throw new CorruptRecordException(
                    "tag " + tag + " of an entry, event or action is unknown to this build");
        }
        return RecordCodec.of(types.get(tag)).read(in, strings);
    }
}
