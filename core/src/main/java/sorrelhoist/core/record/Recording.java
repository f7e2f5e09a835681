package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.List;

/** The entries of one start of one router, in order, and where some are missing. Immutable. */
public final class Recording {
    /**
     * An entry with its number.
     *
     * @param number counted from the router's start, from 0
     * @param entry the entry
     */
    public record NumberedEntry(long number, RecordEntry entry) {}

    /**
     * Entries that are missing.
     *
     * @param firstMissing number of the first of them
     * @param nextPresent number of the entry after the last of them
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
     * Reads segment files and puts their entries together. Of several routers or starts, the newest
     * start is taken, and that there are others is named as a fault.
     *
     * @param files whole files, in any order
     * @return the recording
     * @throws CorruptRecordException where no sound chunk is found
     */
    public static Recording of(List<byte[]> files) throws CorruptRecordException {
        RecordingAssembler assembler = new RecordingAssembler();
        files.forEach(assembler::add);
        return assembler.assemble();
    }

    /** {@return a recording of these entries, numbered anew} */
    public static Recording of(RecordEntry.Header header, List<RecordEntry> entries) {
        List<NumberedEntry> numbered = new ArrayList<>();
        entries.forEach(entry -> numbered.add(new NumberedEntry(numbered.size(), entry)));
        return new Recording(header, numbered, List.of(), List.of());
    }

    /** {@return how the router was built and configured} */
    public RecordEntry.Header header() {
        return header;
    }

    /** {@return the entries, in order} */
    public List<NumberedEntry> entries() {
        return entries;
    }

    /** {@return what could not be read, in plain words} */
    public List<String> faults() {
        return faults;
    }

    /** {@return where entries are missing} */
    public List<Gap> gaps() {
        return gaps;
    }

    /**
     * {@return whether it reaches back to the router's start without a gap, so that a replay must
     * be exact}
     */
    public boolean isComplete() {
        return gaps.isEmpty();
    }

    /** {@return the recording as one segment file} */
    public byte[] toFileBytes() {
        byte[] fileHeader = ChunkCodec.fileHeader();
        BinaryWriter out = new BinaryWriter().writeBytes(fileHeader, fileHeader.length);
        ChunkWriter chunk = new ChunkWriter();
        long nextNumber = -1;
        for (NumberedEntry numbered : entries) {
            // A chunk numbers its entries from its first one on, so each gap begins another.
            if (numbered.number() != nextNumber || chunk.size() > Recorder.CHUNK_BYTES) {
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
