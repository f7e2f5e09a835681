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
 * The files of a record in a directory: carries out the operations that {@link SegmentRetention}
 * decides. Used by one thread at a time.
 */
public class RecordDirectory {
    /** A file of this name asks for the files that are there to be preserved. */
    public static final String PRESERVE_REQUEST_FILE = "keep";

    private final Path directory;

    /**
     * Opens a directory.
     *
     * @param directory the directory; created if missing
     * @throws IOException if it cannot be created
     */
    public RecordDirectory(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
    }

    /**
     * Lists the directory.
     *
     * @return the files that are there
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
     * Carries out operations in their order.
     *
     * @param operations the operations
     * @param chunk what an {@link SegmentRetention.Append} among them writes; may be null if there
     *     is none
     * @throws IOException if one of them fails; those before it have taken effect
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
     * Appends to a file, which begins with a header if it is new.
     *
     * @param name the file
     * @param chunk what is added
     * @throws IOException if it cannot be written; a part of it may stand there
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
     * Takes a request to preserve the files that are there.
     *
     * @return whether there was one since this was last called
     * @throws IOException if its file cannot be deleted
     */
    public boolean takePreserveRequest() throws IOException {
        return Files.deleteIfExists(directory.resolve(PRESERVE_REQUEST_FILE));
    }
}
