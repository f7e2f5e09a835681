/**
 * Snapshots of what a router has learned: stored on its own disk for its next start, and
 * transferred to other routers that start.
 *
 * <p>{@link sorrelhoist.core.statetransfer.KnowledgeCodec} defines the format of a snapshot, {@link
 * sorrelhoist.core.statetransfer.SnapshotLog} the format of files of snapshots; {@link
 * sorrelhoist.core.statetransfer.SnapshotPolicy} decides when to write and what to restore. In a
 * transfer, the receiving router owns a {@link sorrelhoist.core.statetransfer.DonorSelection} and
 * sends a {@link sorrelhoist.core.statetransfer.KeyDigest}; the donor owns a {@link
 * sorrelhoist.core.statetransfer.SnapshotTransfer} for each transfer. The knowledge itself belongs
 * to the routing policy; this package works on copies and does no I/O.
 */
package sorrelhoist.core.statetransfer;
