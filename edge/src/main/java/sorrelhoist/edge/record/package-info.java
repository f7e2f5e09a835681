/**
 * Writes the record of a router's decisions to files.
 *
 * <p>{@link sorrelhoist.edge.record.RecordWriter} owns the queued chunks, on the router's thread,
 * and the writer's thread; {@link sorrelhoist.edge.record.RecordDirectory} owns the files, on the
 * writer's thread. {@code core.record} decides what is recorded, and which files are deleted or
 * preserved.
 */
package sorrelhoist.edge.record;
