/**
 * Header compression for HTTP/2 (RFC 7541).
 *
 * <p>{@link sorrelhoist.protocol.hpack.HpackEncoder} and {@link
 * sorrelhoist.protocol.hpack.HpackDecoder} each own the dynamic table for one direction of one
 * connection. The static table and the Huffman code are shared and immutable.
 */
package sorrelhoist.protocol.hpack;
