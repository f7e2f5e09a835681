package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import sorrelhoist.protocol.hpack.Headers;

/** Receives the events of one stream, on the connection's event loop and in wire order. */
public interface Http2StreamListener {
    /**
     * Called when a header list arrives: the response's, or trailers.
     *
     * @param headers the header fields
     * @param endStream whether the event ends the peer's side of the stream
     */
    void onHeaders(Headers headers, boolean endStream);

    /**
     * Called when data arrives. The listener returns its flow-control credit with {@link
     * Http2Stream#consumeBytes}, immediately or later.
     *
     * @param data the data, valid only during the call
     * @param endStream whether the event ends the peer's side of the stream
     */
    void onData(ByteBuf data, boolean endStream);

    /**
     * Called when the stream ends before both sides have finished; no other event follows. Not
     * called if the user reset the stream.
     *
     * @param code the peer's error code, or the error code with which the connection was closed
     * @param unprocessed whether the peer reported that it did not process the stream (RFC 9113
     *     section 8.7)
     * @param reason description for logs
     */
    void onReset(ErrorCode code, boolean unprocessed, String reason);

    /** Called when the stream's send queue has drained to its low-water mark. */
    default void onWritable() {}
}
