package sorrelhoist.edge.record;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import sorrelhoist.core.record.ChunkCodec;
import sorrelhoist.core.record.SegmentRetention;

/**
 * The files of a record in a folder: carries out what a {@link SegmentRetention} says. Used by one
 * thread at a time.
 */
public class RecordFolder {
    /** A file of this name asks for what is there to be kept. */
    public static final String KEEP = "keep";

    private final Path folder;

    /**
     * Opens a folder.
     *
     * @param folder made if missing
     */
    public RecordFolder(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    /** {@return the files that are there} */
    public List<SegmentRetention.ExistingFile> found() throws IOException {
        List<SegmentRetention.ExistingFile> all = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path f : files.toList()) {
                if (Files.isRegularFile(f)) {
                    all.add(
                            new SegmentRetention.ExistingFile(
                                    f.getFileName().toString(),
                                    Files.size(f),
                                    Files.getLastModifiedTime(f).toMillis() * 1000));
                }
            }
        }
        return all;
    }

    /** Carries out steps; chunk is what an Append writes. */
    public void carry(List<SegmentRetention.FileOperation> steps, byte[] chunk) throws IOException {
        for (SegmentRetention.FileOperation step : steps) {
            if (step instanceof SegmentRetention.Append a) {
                append(a.name(), chunk);
            } else if (step instanceof SegmentRetention.Close c) {
                sync(c.name());
            } else if (step instanceof SegmentRetention.Delete r) {
                Files.deleteIfExists(folder.resolve(r.name()));
            } else if (step instanceof SegmentRetention.Rename r
                    && Files.exists(folder.resolve(r.from()))) {
                Files.move(
                        folder.resolve(r.from()),
                        folder.resolve(r.to()),
                        StandardCopyOption.ATOMIC_MOVE);
            }
        }
    }

    /** Adds to a file, which begins with a header if it is new. */
    protected void append(String name, byte[] chunk) throws IOException {
        Path file = folder.resolve(name);
        if (!Files.exists(file)) {
            Files.write(
                    file,
                    ChunkCodec.fileHeader(),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE);
        }
        Files.write(file, chunk, StandardOpenOption.APPEND);
    }

    private void sync(String name) throws IOException {
        if (Files.exists(folder.resolve(name))) {
            try (var channel =
                    java.nio.channels.FileChannel.open(
                            folder.resolve(name), StandardOpenOption.WRITE)) {
                channel.force(true);
            }
        }
    }

    /** {@return whether somebody asked for what is there to be kept, since this was last asked} */
    public boolean keepAsked() throws IOException {
        return Files.deleteIfExists(folder.resolve(KEEP));
    }
}
