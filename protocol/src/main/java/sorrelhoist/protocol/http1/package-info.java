/**
 * HTTP/1.1 (RFC 9110 and 9112): decoders of heads, contents and complete messages however their
 * bytes are cut, an encoder of messages, and a small client and server on Netty's channels.
 *
 * <p>Each decoder belongs to one connection, is used on its event loop alone, and keeps the state
 * between the pieces that arrive; nothing is shared.
 */
package sorrelhoist.protocol.http1;
