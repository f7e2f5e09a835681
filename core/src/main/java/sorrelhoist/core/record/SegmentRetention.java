package sorrelhoist.core.record;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/**
 * Decides to which segment file a chunk is appended, which files are deleted, and which are
 * preserved for somebody who asks why. It does no I/O: names and times come in, file operations go
 * out, and its caller carries them out.
 */
public final class SegmentRetention {
    /** What to do, in order. */
    public sealed interface FileOperation {}

    /**
     * Append a chunk to a file, which is created with a file header if it is new.
     *
     * @param name the file's
     */
    public record Append(String name) implements FileOperation {}

    /**
     * Force a file that gets no more chunks to the disk.
     *
     * @param name the file's
     */
    public record Close(String name) implements FileOperation {}

    /**
     * Delete a file.
     *
     * @param name the file's
     */
    public record Delete(String name) implements FileOperation {}

    /**
     * Rename a file.
     *
     * @param from its name
     * @param to its new one
     */
    public record Rename(String from, String to) implements FileOperation {}

    /**
     * How much may be stored.
     *
     * @param segmentBytes after which a file gets no more chunks
     * @param maxBytes of all files that are not preserved
     * @param maxAgeMicros after which a file that is not preserved is deleted
     * @param preservedBytes of all preserved files; the oldest are deleted
     */
    public record Limits(
            long segmentBytes, long maxBytes, long maxAgeMicros, long preservedBytes) {}

    /**
     * A file that exists at the start.
     *
     * @param name its name
     * @param bytes its length
     * @param writtenAt when it was last written to, microseconds since 1970
     */
    public record ExistingFile(String name, long bytes, long writtenAt) {}

    private static final class Segment {
        final String name;
        long bytes;
        long writtenAt;

        Segment(String name, long bytes, long writtenAt) {
            this.name = name;
            this.bytes = bytes;
            this.writtenAt = writtenAt;
        }
    }

    /** What names of segment files end with. */
    public static final String FILE_SUFFIX = ".rec";

    private static final String PRESERVED_PREFIX = "kept-";
    private static final int INCARNATION_RADIX = 36;

    private final Limits limits;
    private final String prefix;
    private final Deque<Segment> segments = new ArrayDeque<>();
    private final Deque<Segment> preserved = new ArrayDeque<>();
    private Segment open;
    private long created;

    /**
     * Creates the retention of one folder.
     *
     * @param limits how much may be stored
     * @param incarnation of the router's process, so that no name is used twice
     * @param existing files in the folder, in any order; those that are no segments are ignored
     */
    public SegmentRetention(Limits limits, long incarnation, List<ExistingFile> existing) {
        this.limits = limits;
        this.prefix = Long.toString(incarnation, INCARNATION_RADIX) + "-";
        existing.stream()
                .filter(file -> file.name().endsWith(FILE_SUFFIX))
                .sorted(
                        Comparator.comparingLong(ExistingFile::writtenAt)
                                .thenComparing(ExistingFile::name))
                .forEach(this::addExisting);
    }

    private void addExisting(ExistingFile file) {
        boolean isPreserved = file.name().startsWith(PRESERVED_PREFIX);
        (isPreserved ? preserved : segments)
                .add(new Segment(file.name(), file.bytes(), file.writtenAt()));
    }

    /**
     * Takes a chunk.
     *
     * @param now microseconds since 1970
     * @param bytes the chunk's length
     * @return what to do with it
     */
    public List<FileOperation> appendChunk(long now, int bytes) {
        List<FileOperation> operations = new ArrayList<>();
        if (open != null && open.bytes + bytes > limits.segmentBytes()) {
            closeOpen(operations);
        }
        if (open == null) {
            String name = String.format("%s%06d%s", prefix, ++created, FILE_SUFFIX);
            open = new Segment(name, 0, now);
            segments.add(open);
        }
        open.bytes += bytes;
        open.writtenAt = now;
        operations.add(new Append(open.name));
        deleteBeyondLimits(now, operations);
        return operations;
    }

    /**
     * Preserves everything that is recorded now, up to the limit of what is preserved.
     *
     * @param now microseconds since 1970
     * @return what to do for that
     */
    public List<FileOperation> preserveAll(long now) {
        List<FileOperation> operations = new ArrayList<>();
        if (open != null) {
            closeOpen(operations);
        }
        while (!segments.isEmpty()) {
            Segment segment = segments.remove();
            String name = PRESERVED_PREFIX + segment.name;
            operations.add(new Rename(segment.name, name));
            preserved.add(new Segment(name, segment.bytes, now));
        }
        deleteBeyondLimits(now, operations);
        return operations;
    }

    private void closeOpen(List<FileOperation> operations) {
        operations.add(new Close(open.name));
        open = null;
    }

    /** An operation failed: the open file may end in half a chunk, and gets no more. */
    public void writeFailed() {
        open = null;
    }

    private void deleteBeyondLimits(long now, List<FileOperation> operations) {
        // The newest file stays whatever its size and age.
        while (segments.size() > 1 && isBeyondLimits(segments.peek(), now)) {
            operations.add(new Delete(segments.remove().name));
        }
        while (preserved.size() > 1 && totalBytes(preserved) > limits.preservedBytes()) {
            operations.add(new Delete(preserved.remove().name));
        }
    }

    private boolean isBeyondLimits(Segment oldest, long now) {
        return totalBytes(segments) > limits.maxBytes()
                || oldest.writtenAt < now - limits.maxAgeMicros();
    }

    private static long totalBytes(Deque<Segment> files) {
        return files.stream().mapToLong(file -> file.bytes).sum();
    }
}
