/**
 * Records a router's decisions: each event with the actions that were decided on it, stored as
 * segment files on disk. Also contains the tools that explain, replay, compare and minimize a
 * record.
 *
 * <p>A router reports to a {@link sorrelhoist.core.record.DecisionListener}; {@link
 * sorrelhoist.core.record.Recorder} encodes on the router's thread and owns the chunk that is being
 * filled; {@link sorrelhoist.core.record.SegmentRetention} decides about files and is owned by the
 * component that writes them. Everything that reads a record works on an immutable {@link
 * sorrelhoist.core.record.Recording}. This package does no I/O.
 *
 * <p>The stored form depends on the order and the types of record components and on the order of
 * enum constants (see {@link sorrelhoist.core.record.RecordCodec}): renaming them is safe;
 * reordering, inserting and removing them is not. {@link sorrelhoist.core.record.Replay} is loaded
 * by name from the jars of other builds.
 */
package sorrelhoist.core.record;
