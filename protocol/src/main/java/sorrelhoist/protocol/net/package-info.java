/**
 * Netty's sockets as this project uses them: event loops that do not poll, listeners that survive
 * failed accepts, connection attempts that report their failure on the event loop, and an estimate
 * of how late an event loop reads. Loopback addresses alone.
 *
 * <p>State belongs to one event loop, one listener or one attempt; nothing is shared.
 */
package sorrelhoist.protocol.net;
