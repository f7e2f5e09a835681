package sorrelhoist.edge.persistence;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Stores files in a directory of the file system. */
public final class DirectoryStorage implements SnapshotStorage {
    private final Path directory;

    /**
     * Opens a directory, and creates it if it is missing.
     *
     * @param directory the directory that holds the files
     * @throws IOException if the directory cannot be created
     */
    public DirectoryStorage(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
    }

    @Override
    public byte[] read(String name) throws IOException {
        Path file = directory.resolve(name);
        return Files.exists(file) ? Files.readAllBytes(file) : null;
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        Files.write(directory.resolve(name), bytes);
    }

    @Override
    public void append(String name, byte[] bytes) throws IOException {
        Files.write(
                directory.resolve(name),
                bytes,
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        try (FileChannel file = open(directory.resolve(name), StandardOpenOption.WRITE)) {
            file.truncate(length);
        }
    }

    @Override
    public void sync(String name) throws IOException {
        force(directory.resolve(name), StandardOpenOption.WRITE);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                directory.resolve(from),
                directory.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        // The new name is durable only after the directory itself is synced to the device.
        force(directory, StandardOpenOption.READ);
    }

    private static void force(Path path, OpenOption option) throws IOException {
        try (FileChannel file = open(path, option)) {
            file.force(true);
        }
    }

    private static FileChannel open(Path path, OpenOption option) throws IOException {
        return FileChannel.open(path, option);
    }
}
