package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A record put together: the entries of one router's one start, in order, and where some are
 * missing.
 */
public final class Tape {
    /**
     * An entry in its place.
     *
     * @param number counted from the router's start
     * @param entry what it holds
     */
    public record Line(long number, Entry entry) {}

    private final Entry.Started head;
    private final List<Line> lines;
    private final List<String> faults;
    private final List<long[]> gaps;

    private Tape(Entry.Started head, List<Line> lines, List<String> faults, List<long[]> gaps) {
        this.head = head;
        this.lines = lines;
        this.faults = faults;
        this.gaps = gaps;
    }

    /**
     * Puts files together. Of several routers or starts, the newest start is taken and the others
     * are named as a fault.
     *
     * @param files whole files, in any order
     * @return the tape
     * @throws Unreadable where no sound chunk is found
     */
    public static Tape of(List<byte[]> files) throws Unreadable {
        List<Chunks.Chunk> all = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        for (byte[] file : files) {
            Chunks.Read read = Chunks.read(file);
            all.addAll(read.chunks());
            faults.addAll(read.faults());
        }
        if (all.isEmpty()) {
            throw new Unreadable(faults.isEmpty() ? "the record is empty" : faults.get(0));
        }
        Entry.Started head =
                all.stream()
                        .map(Chunks.Chunk::head)
                        .max(Comparator.comparingLong(Entry.Started::incarnation))
                        .orElseThrow();
        long others = all.stream().filter(c -> !c.head().equals(head)).count();
        if (others > 0) {
            faults.add(
                    others
                            + " chunks are of another router or an earlier start, and are passed"
                            + " over");
        }
        all.removeIf(c -> !c.head().equals(head));
        all.sort(Comparator.comparingLong(Chunks.Chunk::first));
        List<Line> lines = new ArrayList<>();
        List<long[]> gaps = new ArrayList<>();
        long next = 0;
        for (Chunks.Chunk c : all) {
            if (c.first() > next) {
                gaps.add(new long[] {next, c.first()});
            }
            long number = c.first();
            for (Entry e : c.entries()) {
                if (e instanceof Entry.Lost || number < next) {
                    // Lost entries show by the numbers; a chunk that was kept twice counts once.
                    number += e instanceof Entry.Lost ? 0 : 1;
                    continue;
                }
                lines.add(new Line(number++, e));
                next = number;
            }
        }
        return new Tape(head, lines, faults, gaps);
    }

    /** {@return a tape made of these entries, numbered anew} */
    public static Tape of(Entry.Started head, List<Entry> entries) {
        List<Line> lines = new ArrayList<>();
        entries.forEach(e -> lines.add(new Line(lines.size(), e)));
        return new Tape(head, lines, List.of(), List.of());
    }

    /** {@return what the router was made of} */
    public Entry.Started head() {
        return head;
    }

    /** {@return the entries, in order} */
    public List<Line> lines() {
        return lines;
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
    public boolean isWhole() {
        return gaps.isEmpty();
    }

    /** {@return it as one file} */
    public byte[] file() {
        Bytes out = new Bytes().raw(Chunks.header(), Chunks.header().length);
        Chunks.Writer w = new Chunks.Writer();
        long expected = -1;
        for (Line line : lines) {
            if (line.number() != expected || w.size() > Recorder.CHUNK) {
                if (expected >= 0) {
                    byte[] chunk = w.end();
                    out.raw(chunk, chunk.length);
                }
                w.begin(line.number(), head);
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
