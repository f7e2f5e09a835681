/**
 * What a router has learned, as snapshots: kept on its own disk for its next start, and transferred
 * to routers that start.
 *
 * <p>{@link sorrelhoist.core.statetransfer.KnowledgeCodec} is the form of a snapshot, {@link
 * sorrelhoist.core.statetransfer.SnapshotLog} that of the file that holds them, {@link
 * sorrelhoist.core.statetransfer.SnapshotPolicy} says when to write and what to restore. In a
 * transfer, the receiving router owns a {@link sorrelhoist.core.statetransfer.DonorSelection} and
 * sends a {@link sorrelhoist.core.statetransfer.KeyDigest}; the donor owns a {@link
 * sorrelhoist.core.statetransfer.SnapshotTransfer} for each transfer. The knowledge itself belongs
 * to the routing policy; everything here works on copies, and does no I/O.
 */
package sorrelhoist.core.statetransfer;
