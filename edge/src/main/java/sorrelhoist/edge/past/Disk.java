package sorrelhoist.edge.past;

import java.io.IOException;

/**
 * The few things that a past needs of a folder; apart from it, so that tests can let each of them
 * fail.
 */
public interface Disk {
    /** {@return a file's bytes, or null where there is none} */
    byte[] read(String name) throws IOException;

    /** Writes a file anew. */
    void write(String name, byte[] bytes) throws IOException;

    /** Adds to a file's end. */
    void append(String name, byte[] bytes) throws IOException;

    /** Cuts a file. */
    void truncate(String name, long length) throws IOException;

    /** Puts a file's content where a loss of power leaves it. */
    void sync(String name) throws IOException;

    /** Gives a file another name, whole or not at all; what has that name is replaced. */
    void rename(String from, String to) throws IOException;
}
