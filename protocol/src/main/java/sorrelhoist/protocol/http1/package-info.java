/**
 * HTTP/1.1 (RFC 9110 and 9112): incremental decoders for heads, contents and complete messages, an
 * encoder for messages, and a small client and server on Netty channels.
 *
 * <p>Each decoder belongs to one connection, is used only on its event loop, and keeps the state
 * between reads. No state is shared.
 */
package sorrelhoist.protocol.http1;
