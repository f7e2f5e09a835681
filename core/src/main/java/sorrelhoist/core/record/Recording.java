package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A record put together: the entries of one router's one start, in order, and where some are
 * missing.
 */
public final class Recording {
    /**
     * An entry in its place.
     *
     * @param number counted from the router's start
     * @param entry what it holds
     */
    public record NumberedEntry(long number, RecordEntry entry) {}

    private final RecordEntry.Header header;
    private final List<NumberedEntry> entries;
    private final List<String> faults;
    private final List<long[]> gaps;

    private Recording(
            RecordEntry.Header head,
            List<NumberedEntry> lines,
            List<String> faults,
            List<long[]> gaps) {
        this.header = head;
        this.entries = lines;
        this.faults = faults;
        this.gaps = gaps;
    }

    /**
     * Puts files together. Of several routers or starts, the newest start is taken and the others
     * are named as a fault.
     *
     * @param files whole files, in any order
     * @return the tape
     * @throws CorruptRecordException where no sound chunk is found
     */
    public static Recording of(List<byte[]> files) throws CorruptRecordException {
        List<ChunkCodec.Chunk> all = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        for (byte[] file : files) {
            ChunkCodec.Read read = ChunkCodec.read(file);
            all.addAll(read.chunks());
            faults.addAll(read.faults());
        }
        if (all.isEmpty()) {
            throw new CorruptRecordException(
                    faults.isEmpty() ? "the record is empty" : faults.get(0));
        }
        RecordEntry.Header head =
                all.stream()
                        .map(ChunkCodec.Chunk::head)
                        .max(Comparator.comparingLong(RecordEntry.Header::incarnation))
                        .orElseThrow();
        long others = all.stream().filter(c -> !c.head().equals(head)).count();
        if (others > 0) {
            faults.add(
                    others
                            + " chunks are of another router or an earlier start, and are passed"
                            + " over");
        }
        all.removeIf(c -> !c.head().equals(head));
        all.sort(Comparator.comparingLong(ChunkCodec.Chunk::first));
        List<NumberedEntry> lines = new ArrayList<>();
        List<long[]> gaps = new ArrayList<>();
        long next = 0;
        for (ChunkCodec.Chunk c : all) {
            if (c.first() > next) {
                gaps.add(new long[] {next, c.first()});
            }
            long number = c.first();
            for (RecordEntry e : c.entries()) {
                if (e instanceof RecordEntry.EntriesDropped || number < next) {
                    // Lost entries show by the numbers; a chunk that was kept twice counts once.
                    number += e instanceof RecordEntry.EntriesDropped ? 0 : 1;
                    continue;
                }
                lines.add(new NumberedEntry(number++, e));
                next = number;
            }
        }
        return new Recording(head, lines, faults, gaps);
    }

    /** {@return a tape made of these entries, numbered anew} */
    public static Recording of(RecordEntry.Header head, List<RecordEntry> entries) {
        List<NumberedEntry> lines = new ArrayList<>();
        entries.forEach(e -> lines.add(new NumberedEntry(lines.size(), e)));
        return new Recording(head, lines, List.of(), List.of());
    }

    /** {@return what the router was made of} */
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

    /** {@return where entries are missing: from this number on, up to before that one} */
    public List<long[]> gaps() {
        return gaps;
    }

    /**
     * {@return whether it reaches back to the router's start without a gap, so that a replay must
     * be exact}
     */
    public boolean isComplete() {
        return gaps.isEmpty();
    }

    /** {@return it as one file} */
    public byte[] toFileBytes() {
        Bytes out = new Bytes().raw(ChunkCodec.fileHeader(), ChunkCodec.fileHeader().length);
        ChunkCodec.Writer w = new ChunkCodec.Writer();
        long expected = -1;
        for (NumberedEntry line : entries) {
            if (line.number() != expected || w.size() > Recorder.CHUNK) {
                if (expected >= 0) {
                    byte[] chunk = w.end();
                    out.raw(chunk, chunk.length);
                }
                w.begin(line.number(), header);
            }
            w.entry(line.entry());
            expected = line.number() + 1;
        }
        if (expected >= 0) {
            byte[] chunk = w.end();
            out.raw(chunk, chunk.length);
        }
        return out.copy();
    }
}
