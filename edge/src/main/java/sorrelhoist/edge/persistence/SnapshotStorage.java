package sorrelhoist.edge.persistence;

import java.io.IOException;

/**
 * File operations that a {@link SnapshotStore} needs. An interface, so that tests can make each
 * operation fail. File names are relative to the storage.
 */
public interface SnapshotStorage {
    /**
     * Returns a file's content; null if the file does not exist.
     *
     * @param name the file's name
     */
    byte[] read(String name) throws IOException;

    /**
     * Writes a file, replacing its former content.
     *
     * @param name the file's name
     * @param bytes the new content
     */
    void write(String name, byte[] bytes) throws IOException;

    /**
     * Appends to a file.
     *
     * @param name the file's name
     * @param bytes the bytes to append
     */
    void append(String name, byte[] bytes) throws IOException;

    /**
     * Truncates a file.
     *
     * @param name the file's name
     * @param length the new length, in bytes
     */
    void truncate(String name, long length) throws IOException;

    /**
     * Syncs a file's content to the device, so that it survives a power loss.
     *
     * @param name the file's name
     */
    void sync(String name) throws IOException;

    /**
     * Renames a file atomically and durably, replacing a file that has the new name.
     *
     * @param from the old name
     * @param to the new name
     */
    void rename(String from, String to) throws IOException;
}
