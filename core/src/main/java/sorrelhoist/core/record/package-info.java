/**
 * The record of a router's decisions: each event with the actions that were decided, kept as
 * segments on disk, and the tools that explain, replay, compare and shorten it.
 *
 * <p>{@link sorrelhoist.core.record.DecisionListener} is where a router reports; {@link
 * sorrelhoist.core.record.Recorder} encodes on the router's thread and owns the chunk that is being
 * filled; {@link sorrelhoist.core.record.SegmentRetention} decides about files and is owned by
 * whoever writes them. Everything that reads a record works on an immutable {@link
 * sorrelhoist.core.record.Recording}. Nothing here does I/O.
 *
 * <p>The stored form follows the order and the types of record components and the order of enum
 * constants (see {@link sorrelhoist.core.record.RecordCodec}): renaming them is safe, reordering,
 * inserting and removing are not. {@link sorrelhoist.core.record.Replay} is loaded by its name from
 * the jars of other builds.
 */
package sorrelhoist.core.record;
