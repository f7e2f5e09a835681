/**
 * Header compression for HTTP/2 (RFC 7541).
 *
 * <p>{@link sorrelhoist.protocol.hpack.HpackEncoder} and {@link
 * sorrelhoist.protocol.hpack.HpackDecoder} each own the dynamic table of one direction of one
 * connection; the static table and the Huffman code are shared and never change.
 */
package sorrelhoist.protocol.hpack;
