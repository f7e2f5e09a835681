/**
 * Adapters for Netty's transport: event loops without busy polling, listeners that continue after
 * failed accepts, connection attempts that report their failure on the event loop, and an estimate
 * of how late an event loop reads. Only loopback addresses are supported.
 *
 * <p>All state belongs to one event loop, one listener or one connection attempt; none is shared.
 */
package sorrelhoist.protocol.net;
