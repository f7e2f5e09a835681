package sorrelhoist.edge.record;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import sorrelhoist.core.record.ChunkCodec;
import sorrelhoist.core.record.SegmentRetention;

/**
 * The directory that holds the files of a record. Executes the file operations that {@link
 * SegmentRetention} decides. Used by one thread at a time.
 */
public class RecordDirectory {
    /**
     * Name of the file that an operator creates to request that the existing files are preserved.
     */
    public static final String PRESERVE_REQUEST_FILE = "keep";

    private final Path directory;

    /**
     * Opens a directory, and creates it if it is missing.
     *
     * @param directory the directory that holds the record
     * @throws IOException if the directory cannot be created
     */
    public RecordDirectory(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
    }

    /**
     * Lists the regular files of the directory.
     *
     * @return the files with their names, sizes and times of last modification
     * @throws IOException if the directory cannot be read
     */
    public List<SegmentRetention.ExistingFile> existingFiles() throws IOException {
        List<SegmentRetention.ExistingFile> existing = new ArrayList<>();
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.toList()) {
                if (Files.isRegularFile(file)) {
                    existing.add(describe(file));
                }
            }
        }
        return existing;
    }

    private static SegmentRetention.ExistingFile describe(Path file) throws IOException {
        return new SegmentRetention.ExistingFile(
                file.getFileName().toString(),
                Files.size(file),
                TimeUnit.MILLISECONDS.toMicros(Files.getLastModifiedTime(file).toMillis()));
    }

    /**
     * Executes file operations in order.
     *
     * @param operations the operations to execute
     * @param chunk the bytes that an {@link SegmentRetention.Append} writes; may be null if the
     *     operations contain none
     * @throws IOException if an operation fails; the operations before it have taken effect
     */
    public void perform(List<SegmentRetention.FileOperation> operations, byte[] chunk)
            throws IOException {
        for (SegmentRetention.FileOperation operation : operations) {
            if (operation instanceof SegmentRetention.Append append) {
                append(append.name(), chunk);
            } else if (operation instanceof SegmentRetention.Close close) {
                sync(directory.resolve(close.name()));
            } else if (operation instanceof SegmentRetention.Delete delete) {
                Files.deleteIfExists(directory.resolve(delete.name()));
            } else if (operation instanceof SegmentRetention.Rename rename) {
                rename(directory.resolve(rename.from()), directory.resolve(rename.to()));
            }
        }
    }

    /**
     * Appends a chunk to a file. A new file starts with a header.
     *
     * @param name the file's name
     * @param chunk the encoded chunk
     * @throws IOException if the chunk cannot be written; the file may then end with a part of it
     */
    protected void append(String name, byte[] chunk) throws IOException {
        Path file = directory.resolve(name);
        if (!Files.exists(file)) {
            Files.write(
                    file,
                    ChunkCodec.fileHeader(),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE);
        }
        Files.write(file, chunk, StandardOpenOption.APPEND);
    }

    private static void sync(Path file) throws IOException {
        if (Files.exists(file)) {
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
                channel.force(true);
            }
        }
    }

    private static void rename(Path from, Path to) throws IOException {
        if (Files.exists(from)) {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
        }
    }

    /**
     * Checks for a request to preserve the existing files, and deletes the request file.
     *
     * @return true if there was a request since the last call
     * @throws IOException if the request file cannot be deleted
     */
    public boolean consumePreserveRequest() throws IOException {
        return Files.deleteIfExists(directory.resolve(PRESERVE_REQUEST_FILE));
    }
}
