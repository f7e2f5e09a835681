/**
 * Persists a router's knowledge, so that the router has it again after a restart: a full snapshot
 * and a log of incremental snapshots, in a directory that no other edge uses.
 *
 * <p>{@link sorrelhoist.edge.persistence.KnowledgePersistence} owns the schedule, on the router's
 * thread, and the writer's thread; {@link sorrelhoist.edge.persistence.SnapshotStore} owns the
 * files, on the writer's thread; {@link sorrelhoist.edge.persistence.SnapshotStorage} is the
 * interface that tests implement to simulate disk failures. {@code core.statetransfer} decides when
 * to write which kind of snapshot.
 */
package sorrelhoist.edge.persistence;
