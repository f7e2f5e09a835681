package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;

/** Receives frames in their order on the wire. Payloads are valid during the call only. */
interface FrameListener {
    /**
     * DATA.
     *
     * @param streamId the stream
     * @param payload without padding
     * @param flowControlledBytes with padding
     * @param endStream whether the peer's side of the stream ends with it
     */
    void onData(int streamId, ByteBuf payload, int flowControlledBytes, boolean endStream)
            throws Http2Exception;

    /**
     * HEADERS.
     *
     * @param streamId the stream
     * @param fragment the header block, or its beginning
     * @param endStream whether the peer's side of the stream ends with it
     * @param endHeaders whether the block is complete
     */
    void onHeaders(int streamId, ByteBuf fragment, boolean endStream, boolean endHeaders)
            throws Http2Exception;

    /**
     * CONTINUATION of the header block that is open.
     *
     * @param streamId the stream
     * @param fragment a further part of the block
     * @param endHeaders whether the block is complete with it
     */
    void onContinuation(int streamId, ByteBuf fragment, boolean endHeaders) throws Http2Exception;

    /** PRIORITY. */
    void onPriority(int streamId) throws Http2Exception;

    /** RST_STREAM. */
    void onReset(int streamId, ErrorCode code) throws Http2Exception;

    /**
     * SETTINGS.
     *
     * @param settings pairs of a 16-bit identifier and a 32-bit value
     */
    void onSettings(ByteBuf settings) throws Http2Exception;

    /** SETTINGS with ACK. */
    void onSettingsAck() throws Http2Exception;

    /** PING, or its answer. */
    void onPing(boolean ack, long content) throws Http2Exception;

    /** GOAWAY. */
    void onGoAway(int lastStreamId, ErrorCode code) throws Http2Exception;

    /** WINDOW_UPDATE; stream 0 is the connection. */
    void onWindowUpdate(int streamId, int increment) throws Http2Exception;

    /** A frame of a type that RFC 9113 does not define. */
    void onUnknown(int type) throws Http2Exception;
}
