package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Combines the chunks of several segment files into the recording of one start of one router. */
final class RecordingAssembler {
    private final List<Chunk> chunks = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();
    private final List<Recording.NumberedEntry> entries = new ArrayList<>();
    private final List<Recording.Gap> gaps = new ArrayList<>();
    private long nextNumber;

    /** Adds the content of a segment file; files may be added in any order. */
    void add(byte[] file) {
        DecodedSegment segment = SegmentReader.read(file);
        chunks.addAll(segment.chunks());
        faults.addAll(segment.faults());
    }

    /** {@return the recording of the newest start; must be called only once} */
    Recording assemble() throws CorruptRecordException {
        if (chunks.isEmpty()) {
            throw new CorruptRecordException(
                    faults.isEmpty() ? "the record is empty" : faults.get(0));
        }
        RecordEntry.Header newest =
                chunks.stream()
                        .map(Chunk::header)
                        .max(Comparator.comparingLong(RecordEntry.Header::incarnation))
                        .orElseThrow();
        keepOnly(newest);
        chunks.sort(Comparator.comparingLong(Chunk::firstNumber));
        chunks.forEach(this::append);
        return new Recording(newest, entries, faults, gaps);
    }

    private void keepOnly(RecordEntry.Header header) {
        long others = chunks.stream().filter(chunk -> !chunk.header().equals(header)).count();
        if (others > 0) {
            faults.add(others + " chunks of another router or an earlier start were ignored");
        }
        chunks.removeIf(chunk -> !chunk.header().equals(header));
    }

    private void append(Chunk chunk) {
        if (chunk.firstNumber() > nextNumber) {
            gaps.add(new Recording.Gap(nextNumber, chunk.firstNumber()));
        }
        long number = chunk.firstNumber();
        for (RecordEntry entry : chunk.entries()) {
            if (entry instanceof RecordEntry.EntriesDropped) {
                continue; // has no number; the gap is found by the numbers of other entries
            }
            // A preserved chunk may occur in two files; its entries are added once.
            if (number >= nextNumber) {
                entries.add(new Recording.NumberedEntry(number, entry));
                nextNumber = number + 1;
            }
            number++;
        }
    }
}
