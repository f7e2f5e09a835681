package sorrelhoist.protocol.http2;

/**
 * Manages the flow-control windows for received data (RFC 9113 sections 5.2 and 6.9). Credit for
 * the connection's window is returned as bytes arrive, credit for a stream's window as its user
 * consumes them. A slow user therefore blocks only its own stream.
 */
final class InboundFlowController {
    private final FrameWriter writer;
    private final int connectionCreditThreshold;
    private final int streamCreditThreshold;
    private long connectionWindow;
    private int uncreditedBytes;

    /**
     * Creates the flow control of a connection.
     *
     * @param connectionWindow bytes that the peer may send on all streams before it needs credit
     * @param streamWindow bytes that the peer may send on one stream before it needs credit
     * @param writer writes WINDOW_UPDATE
     */
    InboundFlowController(int connectionWindow, int streamWindow, FrameWriter writer) {
        this.writer = writer;
        this.connectionCreditThreshold = connectionWindow / 2;
        this.streamCreditThreshold = streamWindow / 2;
        this.connectionWindow = Math.max(Frames.DEFAULT_WINDOW_SIZE, connectionWindow);
    }

    /** Grants the peer the part of the connection's window that exceeds the default of RFC 9113. */
    void growConnectionWindow() {
        int increment = (int) (connectionWindow - Frames.DEFAULT_WINDOW_SIZE);
        if (increment > 0) {
            writer.windowUpdate(0, increment);
        }
    }

    /** Called when data arrives on any stream; the size includes padding. */
    void onConnectionData(int bytes) throws Http2Exception {
        connectionWindow -= bytes;
        if (connectionWindow < 0) {
            throw Http2Exception.connection(
                    ErrorCode.FLOW_CONTROL_ERROR, "more data than the connection's window");
        }
        uncreditedBytes += bytes;
        if (uncreditedBytes >= connectionCreditThreshold) {
            connectionWindow += uncreditedBytes;
            writeCredit();
        }
    }

    private void writeCredit() {
        if (uncreditedBytes > 0) {
            writer.windowUpdate(0, uncreditedBytes);
            uncreditedBytes = 0;
        }
    }

    /**
     * Called when data arrives on an open stream.
     *
     * @param stream the stream
     * @param bytes number of received bytes, including padding
     * @param padding number of padding bytes, which are not passed to the user
     */
    void onStreamData(Http2Stream stream, int bytes, int padding) throws Http2Exception {
        if (!stream.reduceReceiveWindow(bytes)) {
            throw Http2Exception.stream(
                    ErrorCode.FLOW_CONTROL_ERROR,
                    stream.id(),
                    "more data than the stream's window");
        }
        stream.addUncreditedBytes(padding);
    }

    /**
     * Returns credit for the bytes that the stream's user has consumed, once they are at least half
     * of the window.
     */
    void returnCredit(Http2Stream stream) {
        if (stream.uncreditedBytes() >= streamCreditThreshold) {
            writer.windowUpdate(stream.id(), stream.creditBytes());
        }
    }
}
