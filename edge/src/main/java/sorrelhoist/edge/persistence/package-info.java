/**
 * Persists what a router knows, so that it starts warm: a full snapshot and a log of incremental
 * ones, in a directory of the edge's own.
 *
 * <p>{@link sorrelhoist.edge.persistence.KnowledgePersistence} owns the schedule, on the router's
 * thread, and the thread that writes; {@link sorrelhoist.edge.persistence.SnapshotStore} owns the
 * files, on that thread; {@link sorrelhoist.edge.persistence.SnapshotStorage} is the seam behind
 * which tests let the disk fail. When to write what is decided in {@code core.statetransfer}.
 */
package sorrelhoist.edge.persistence;
