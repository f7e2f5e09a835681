package sorrelhoist.core.record;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which file a chunk goes to, which files are let go, and which are kept for whoever asks
 * why. Names and times come in, steps go out; whoever carries them out owns the disk.
 */
public final class SegmentRetention {
    /** What to do, in order. */
    public sealed interface FileOperation {}

    /**
     * Write a chunk at the end of a file, which is made with a header if it is new.
     *
     * @param name the file's
     */
    public record Append(String name) implements FileOperation {}

    /**
     * Make sure that a file which gets no more is on the disk.
     *
     * @param name the file's
     */
    public record Close(String name) implements FileOperation {}

    /**
     * Remove a file.
     *
     * @param name the file's
     */
    public record Delete(String name) implements FileOperation {}

    /**
     * Give a file another name.
     *
     * @param from its name
     * @param to its new one
     */
    public record Rename(String from, String to) implements FileOperation {}

    /**
     * Bounds.
     *
     * @param segmentBytes after which a file gets no more
     * @param maxBytes of all files that are not kept
     * @param maxAgeMicros after which a file that is not kept is let go
     * @param keptBytes of all kept ones: the oldest go
     */
    public record Limits(long segmentBytes, long maxBytes, long maxAgeMicros, long keptBytes) {}

    /**
     * A file that is there already.
     *
     * @param name its name
     * @param bytes its length
     * @param writtenAt when it was last written to, microseconds since 1970
     */
    public record ExistingFile(String name, long bytes, long writtenAt) {}

    private static final class File {
        final String name;
        long bytes;
        long writtenAt;

        File(ExistingFile f) {
            name = f.name();
            bytes = f.bytes();
            writtenAt = f.writtenAt();
        }
    }

    /** What names end with. */
    public static final String FILE_SUFFIX = ".rec";

    private static final String KEPT = "kept-";
    private static final int DIGITS = 36;
    private final Limits bounds;
    private final String prefix;
    private final ArrayDeque<File> files = new ArrayDeque<>();
    private final ArrayDeque<File> kept = new ArrayDeque<>();
    private File open;
    private long names;

    /**
     * Makes one.
     *
     * @param bounds its bounds
     * @param incarnation of the router, so that no name is used twice
     * @param found what is there, in any order; other files are left alone
     */
    public SegmentRetention(Limits bounds, long incarnation, List<ExistingFile> found) {
        this.bounds = bounds;
        this.prefix = Long.toString(incarnation, DIGITS) + "-";
        Map<Boolean, List<ExistingFile>> split = new HashMap<>();
        found.stream()
                .filter(f -> f.name().endsWith(FILE_SUFFIX))
                .sorted(
                        java.util.Comparator.comparingLong(ExistingFile::writtenAt)
                                .thenComparing(ExistingFile::name))
                .forEach(
                        f ->
                                split.computeIfAbsent(
                                                f.name().startsWith(KEPT), k -> new ArrayList<>())
                                        .add(f));
        split.getOrDefault(false, List.of()).forEach(f -> files.add(new File(f)));
        split.getOrDefault(true, List.of()).forEach(f -> kept.add(new File(f)));
    }

    /** {@return what to do with a chunk of so many bytes} */
    public List<FileOperation> appendChunk(long now, int bytes) {
        List<FileOperation> steps = new ArrayList<>();
        if (open != null && open.bytes + bytes > bounds.segmentBytes()) {
            steps.add(new Close(open.name));
            open = null;
        }
        if (open == null) {
            open =
                    new File(
                            new ExistingFile(
                                    String.format("%s%06d%s", prefix, ++names, FILE_SUFFIX),
                                    0,
                                    now));
            files.add(open);
        }
        open.bytes += bytes;
        open.writtenAt = now;
        steps.add(new Append(open.name));
        trim(now, steps);
        return steps;
    }

    /** {@return what to do so that all that is there now stays, up to the bound of what is kept} */
    public List<FileOperation> preserveAll(long now) {
        List<FileOperation> steps = new ArrayList<>();
        if (open != null) {
            steps.add(new Close(open.name));
            open = null;
        }
        for (File f = files.poll(); f != null; f = files.poll()) {
            File to = new File(new ExistingFile(KEPT + f.name, f.bytes, now));
            steps.add(new Rename(f.name, to.name));
            kept.add(to);
        }
        trim(now, steps);
        return steps;
    }

    /** The last step failed: what is open may end in half a chunk, and gets no more. */
    public void writeFailed() {
        open = null;
    }

    private void trim(long now, List<FileOperation> steps) {
        while (files.size() > 1
                && (total(files) > bounds.maxBytes()
                        || files.peek().writtenAt < now - bounds.maxAgeMicros())) {
            steps.add(new Delete(files.poll().name));
        }
        while (kept.size() > 1 && total(kept) > bounds.keptBytes()) {
            steps.add(new Delete(kept.poll().name));
        }
    }

    private static long total(ArrayDeque<File> of) {
        return of.stream().mapToLong(f -> f.bytes).sum();
    }
}
