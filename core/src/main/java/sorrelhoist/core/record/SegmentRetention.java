package sorrelhoist.core.record;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/**
 * Decides to which segment file a chunk is appended, which files are deleted, and which are
 * preserved for an investigation. It does no I/O: the caller passes names and times and carries out
 * the returned file operations.
 */
public final class SegmentRetention {
    /** A file operation; the caller carries out a list of operations in order. */
    public sealed interface FileOperation {}

    /**
     * Append the chunk to a file. A file that does not exist is created with a file header.
     *
     * @param name name of the file
     */
    public record Append(String name) implements FileOperation {}

    /**
     * Force the content of a file to disk. The file receives no more chunks.
     *
     * @param name name of the file
     */
    public record Close(String name) implements FileOperation {}

    /**
     * Delete a file.
     *
     * @param name name of the file
     */
    public record Delete(String name) implements FileOperation {}

    /**
     * Rename a file.
     *
     * @param from current name
     * @param to new name
     */
    public record Rename(String from, String to) implements FileOperation {}

    /**
     * Limits on the stored files.
     *
     * @param segmentBytes maximum bytes of chunks in a file; only a file with a single chunk may be
     *     larger
     * @param maxBytes maximum total size of files that are not preserved, in bytes
     * @param maxAgeMicros time after its last write at which a file that is not preserved is
     *     deleted
     * @param preservedBytes maximum total size of preserved files, in bytes; the oldest are deleted
     *     first
     */
    public record Limits(
            long segmentBytes, long maxBytes, long maxAgeMicros, long preservedBytes) {}

    /**
     * A file that exists at startup.
     *
     * @param name name of the file
     * @param bytes size of the file, in bytes
     * @param writtenAt time of the last write, in microseconds since 1970
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

    /** Suffix of the names of segment files. */
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
     * Creates the retention for one folder.
     *
     * @param limits limits on the stored files
     * @param incarnation number of the router's process; it is part of file names, so that no name
     *     is used twice
     * @param existing files in the folder, in any order; those that are not segment files are
     *     ignored
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
     * Assigns a chunk to a segment file.
     *
     * @param now current time, in microseconds since 1970
     * @param bytes size of the chunk, in bytes
     * @return the file operations to carry out
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
     * Preserves everything recorded so far, up to the size limit of preserved files.
     *
     * @param now current time, in microseconds since 1970
     * @return the file operations to carry out
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

    /**
     * Handles a failed operation: the open file may end with an incomplete chunk, so no more chunks
     * are appended to it.
     */
    public void writeFailed() {
        open = null;
    }

    private void deleteBeyondLimits(long now, List<FileOperation> operations) {
        // The newest file of each list is kept regardless of its size and age.
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
