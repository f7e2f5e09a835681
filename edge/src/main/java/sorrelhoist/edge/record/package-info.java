/**
 * Writes the record of a router's decisions to files.
 *
 * <p>{@link sorrelhoist.edge.record.RecordWriter} owns the chunks that wait, on the router's
 * thread, and the thread that writes them; {@link sorrelhoist.edge.record.RecordDirectory} owns the
 * files, on that thread. What is recorded, and which files are deleted or preserved, is decided in
 * {@code core.record}.
 */
package sorrelhoist.edge.record;
