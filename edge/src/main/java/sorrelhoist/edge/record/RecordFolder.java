package sorrelhoist.edge.record;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import sorrelhoist.core.record.Chunks;
import sorrelhoist.core.record.Shelf;

/**
 * The files of a record in a folder: carries out what a {@link Shelf} says. Used by one thread at a
 * time.
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
    public List<Shelf.Found> found() throws IOException {
        List<Shelf.Found> all = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path f : files.toList()) {
                if (Files.isRegularFile(f)) {
                    all.add(
                            new Shelf.Found(
                                    f.getFileName().toString(),
                                    Files.size(f),
                                    Files.getLastModifiedTime(f).toMillis() * 1000));
                }
            }
        }
        return all;
    }

    /** Carries out steps; chunk is what an Append writes. */
    public void carry(List<Shelf.Step> steps, byte[] chunk) throws IOException {
        for (Shelf.Step step : steps) {
            if (step instanceof Shelf.Append a) {
                append(a.name(), chunk);
            } else if (step instanceof Shelf.Close c) {
                sync(c.name());
            } else if (step instanceof Shelf.Remove r) {
                Files.deleteIfExists(folder.resolve(r.name()));
            } else if (step instanceof Shelf.Rename r && Files.exists(folder.resolve(r.from()))) {
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
            Files.write(file, Chunks.header(), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
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
