package sorrelhoist.edge.past;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A folder of the file system. */
public final class FolderDisk implements Disk {
    private final Path folder;

    /**
     * Opens a folder.
     *
     * @param folder made if missing
     */
    public FolderDisk(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    @Override
    public byte[] read(String name) throws IOException {
        Path file = folder.resolve(name);
        return Files.exists(file) ? Files.readAllBytes(file) : null;
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        Files.write(folder.resolve(name), bytes);
    }

    @Override
    public void append(String name, byte[] bytes) throws IOException {
        Files.write(
                folder.resolve(name), bytes, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        try (FileChannel channel =
                FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
            channel.truncate(length);
        }
    }

    @Override
    public void sync(String name) throws IOException {
        try (FileChannel channel =
                FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
            channel.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                folder.resolve(from),
                folder.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        // The name itself lasts only once the folder is on disk.
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
