/**
 * Transfers what running routers know to one that starts. A starting edge's {@link
 * sorrelhoist.edge.statetransfer.SnapshotClient} asks donors one after the other; a running edge's
 * {@link sorrelhoist.edge.statetransfer.SnapshotServer} answers in chunks, as background work
 * within a budget. Both sides sign what they send with a secret that the edges share.
 *
 * <p>The client's state belongs to one network thread, the server's to the router's. Whom to ask,
 * what a snapshot holds and in which order is decided in {@code core.statetransfer}.
 */
package sorrelhoist.edge.statetransfer;
