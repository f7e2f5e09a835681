package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Puts the chunks of several segment files together: one start of one router, in order. */
final class RecordingAssembler {
    private final List<Chunk> chunks = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();
    private final List<Recording.NumberedEntry> entries = new ArrayList<>();
    private final List<Recording.Gap> gaps = new ArrayList<>();
    private long nextNumber;

    /** Adds a segment file, in any order. */
    void add(byte[] file) {
        DecodedSegment segment = SegmentReader.read(file);
        chunks.addAll(segment.chunks());
        faults.addAll(segment.faults());
    }

    /** {@return the recording of the newest start; called once} */
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
            faults.add(
                    others
                            + " chunks are of another router or an earlier start, and are passed"
                            + " over");
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
                continue; // has no number; the gap shows by the numbers of the others
            }
            // A chunk that was preserved and is found twice counts once.
            if (number >= nextNumber) {
                entries.add(new Recording.NumberedEntry(number, entry));
                nextNumber = number + 1;
            }
            number++;
        }
    }
}
