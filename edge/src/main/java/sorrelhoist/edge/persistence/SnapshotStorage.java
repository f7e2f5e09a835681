package sorrelhoist.edge.persistence;

import java.io.IOException;

/**
 * The few operations on files that a {@link SnapshotStore} needs; an interface, so that tests can
 * let each of them fail. File names are relative to the storage.
 */
public interface SnapshotStorage {
    /**
     * {@return a file's bytes, or null if there is no such file}
     *
     * @param name the file
     */
    byte[] read(String name) throws IOException;

    /**
     * Writes a file, replacing what it held.
     *
     * @param name the file
     * @param bytes its content
     */
    void write(String name, byte[] bytes) throws IOException;

    /**
     * Appends to a file.
     *
     * @param name the file
     * @param bytes what is added at its end
     */
    void append(String name, byte[] bytes) throws IOException;

    /**
     * Cuts a file.
     *
     * @param name the file
     * @param length its new length, in bytes
     */
    void truncate(String name, long length) throws IOException;

    /**
     * Forces a file's content to the device, so that it survives a loss of power.
     *
     * @param name the file
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
