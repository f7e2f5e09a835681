package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import sorrelhoist.protocol.hpack.Headers;

/** Events of one stream, on the connection's event loop and in the order of the wire. */
public interface Http2StreamListener {
    /**
     * A header list came: the response's, or trailers.
     *
     * @param headers the fields
     * @param endStream whether the peer's side of the stream ends with it
     */
    void onHeaders(Headers headers, boolean endStream);

    /**
     * Data came. The user gives credit for it with {@link Http2Stream#consumeBytes}, at once or
     * later.
     *
     * @param data valid during the call only
     * @param endStream whether the peer's side of the stream ends with it
     */
    void onData(ByteBuf data, boolean endStream);

    /**
     * The stream ended before both sides had finished; nothing follows. Not called for what this
     * side reset.
     *
     * @param code the peer's code, or why the connection ended
     * @param unprocessed whether the peer says that it never looked at this stream (RFC 9113
     *     section 8.7)
     * @param reason for logs
     */
    void onReset(ErrorCode code, boolean unprocessed, String reason);

    /** What waited to be sent has fallen to the stream's low-water mark. */
    default void onWritable() {}
}
