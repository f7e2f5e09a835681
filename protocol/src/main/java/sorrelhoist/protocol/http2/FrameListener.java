package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;

/** Receives frames in wire order. Payloads are valid only during the call. */
interface FrameListener {
    /**
     * Called for DATA.
     *
     * @param streamId ID of the stream
     * @param payload the data, without padding
     * @param flowControlledBytes size of the frame's payload, including padding
     * @param endStream whether the frame ends the peer's side of the stream
     */
    void onData(int streamId, ByteBuf payload, int flowControlledBytes, boolean endStream)
            throws Http2Exception;

    /**
     * Called for HEADERS.
     *
     * @param streamId ID of the stream
     * @param fragment the header block, or its first fragment
     * @param endStream whether the frame ends the peer's side of the stream
     * @param endHeaders whether the fragment completes the block
     */
    void onHeaders(int streamId, ByteBuf fragment, boolean endStream, boolean endHeaders)
            throws Http2Exception;

    /**
     * Called for CONTINUATION, which continues the incomplete header block.
     *
     * @param streamId ID of the stream
     * @param fragment the next fragment of the block
     * @param endHeaders whether the fragment completes the block
     */
    void onContinuation(int streamId, ByteBuf fragment, boolean endHeaders) throws Http2Exception;

    /** Called for PRIORITY. */
    void onPriority(int streamId) throws Http2Exception;

    /** Called for RST_STREAM. */
    void onReset(int streamId, ErrorCode code) throws Http2Exception;

    /**
     * Called for SETTINGS without ACK.
     *
     * @param settings pairs of a 16-bit identifier and a 32-bit value
     */
    void onSettings(ByteBuf settings) throws Http2Exception;

    /** Called for SETTINGS with ACK. */
    void onSettingsAck() throws Http2Exception;

    /** Called for PING, or for its acknowledgement if {@code ack} is set. */
    void onPing(boolean ack, long content) throws Http2Exception;

    /** Called for GOAWAY. */
    void onGoAway(int lastStreamId, ErrorCode code) throws Http2Exception;

    /** Called for WINDOW_UPDATE; stream ID 0 stands for the connection. */
    void onWindowUpdate(int streamId, int increment) throws Http2Exception;

    /** Called for a frame whose type RFC 9113 does not define. */
    void onUnknown(int type) throws Http2Exception;
}
