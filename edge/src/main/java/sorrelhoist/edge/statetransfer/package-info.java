/**
 * Transfers the knowledge of running routers to a router that starts. The {@link
 * sorrelhoist.edge.statetransfer.SnapshotClient} of the starting edge asks running edges (donors)
 * one after the other. The {@link sorrelhoist.edge.statetransfer.SnapshotServer} of a running edge
 * responds in chunks, as background work within a budget. Both sides sign their messages with a
 * secret that the edges share.
 *
 * <p>The client's state belongs to one network thread, the server's state to the router's thread.
 * {@code core.statetransfer} decides which donors are asked, and the content and order of a
 * snapshot.
 */
package sorrelhoist.edge.statetransfer;
