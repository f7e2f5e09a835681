package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.List;

/** The entries of one start of one router, in order, with the gaps between them. Immutable. */
public final class Recording {
    /**
     * An entry with its number.
     *
     * @param number position of the entry since the router's start, from 0
     * @param entry the entry
     */
    public record NumberedEntry(long number, RecordEntry entry) {}

    /**
     * A range of missing entries.
     *
     * @param firstMissing number of the first missing entry
     * @param nextPresent number of the first entry after the gap
     */
    public record Gap(long firstMissing, long nextPresent) {}

    private final RecordEntry.Header header;
    private final List<NumberedEntry> entries;
    private final List<String> faults;
    private final List<Gap> gaps;

    Recording(
            RecordEntry.Header header,
            List<NumberedEntry> entries,
            List<String> faults,
            List<Gap> gaps) {
        this.header = header;
        this.entries = entries;
        this.faults = faults;
        this.gaps = gaps;
    }

    /**
     * Reads segment files and combines their entries. If the files are from several routers or
     * starts, only the newest start is read, and a fault reports the others.
     *
     * @param files contents of whole files, in any order
     * @return the recording
     * @throws CorruptRecordException if the files contain no valid chunk
     */
    public static Recording of(List<byte[]> files) throws CorruptRecordException {
        RecordingAssembler assembler = new RecordingAssembler();
        files.forEach(assembler::add);
        return assembler.assemble();
    }

    /** {@return a recording of these entries, renumbered from 0} */
    public static Recording of(RecordEntry.Header header, List<RecordEntry> entries) {
        List<NumberedEntry> numbered = new ArrayList<>();
        entries.forEach(entry -> numbered.add(new NumberedEntry(numbered.size(), entry)));
        return new Recording(header, numbered, List.of(), List.of());
    }

    /** {@return the router's build and configuration} */
    public RecordEntry.Header header() {
        return header;
    }

    /** {@return the entries, in order} */
    public List<NumberedEntry> entries() {
        return entries;
    }

    /** {@return descriptions of what could not be read, for operators} */
    public List<String> faults() {
        return faults;
    }

    /** {@return the ranges of missing entries, in order} */
    public List<Gap> gaps() {
        return gaps;
    }

    /**
     * {@return whether the recording begins at the router's start and has no gap, so that a replay
     * must be exact}
     */
    public boolean isComplete() {
        return gaps.isEmpty();
    }

    /** {@return the recording encoded as a single segment file} */
    public byte[] toFileBytes() {
        byte[] fileHeader = ChunkCodec.fileHeader();
        BinaryWriter out = new BinaryWriter().writeBytes(fileHeader, fileHeader.length);
        ChunkWriter chunk = new ChunkWriter();
        long nextNumber = -1;
        for (NumberedEntry numbered : entries) {
            // Entries in a chunk have consecutive numbers, so a gap requires a new chunk.
            if (numbered.number() != nextNumber || chunk.size() > Recorder.FLUSH_BYTES) {
                append(chunk, nextNumber, out);
                chunk.begin(numbered.number(), header);
            }
            chunk.write(numbered.entry());
            nextNumber = numbered.number() + 1;
        }
        append(chunk, nextNumber, out);
        return out.toByteArray();
    }

    private static void append(ChunkWriter chunk, long nextNumber, BinaryWriter out) {
        if (nextNumber >= 0) {
            byte[] bytes = chunk.end();
            out.writeBytes(bytes, bytes.length);
        }
    }
}
