package sorrelhoist.protocol.http2;

/**
 * The windows for data that the peer sends (RFC 9113 sections 5.2 and 6.9). Credit of the
 * connection's window is given back as bytes arrive, that of a stream's window as its user takes
 * them: a slow user holds back its own stream and no other.
 */
final class InboundFlowController {
    private final FrameWriter writer;
    private final int connectionCreditThreshold;
    private final int streamCreditThreshold;
    private long connectionWindow;
    private int uncreditedBytes;

    /**
     * Creates the windows.
     *
     * @param connectionWindow bytes that the peer may send before it is given credit
     * @param streamWindow likewise for each stream
     * @param writer writes WINDOW_UPDATE
     */
    InboundFlowController(int connectionWindow, int streamWindow, FrameWriter writer) {
        this.writer = writer;
        this.connectionCreditThreshold = connectionWindow / 2;
        this.streamCreditThreshold = streamWindow / 2;
        this.connectionWindow = Math.max(Frames.DEFAULT_WINDOW_SIZE, connectionWindow);
    }

    /** Grants the peer what the connection's window has beyond the RFC's default. */
    void growConnectionWindow() {
        int increment = (int) (connectionWindow - Frames.DEFAULT_WINDOW_SIZE);
        if (increment > 0) {
            writer.windowUpdate(0, increment);
        }
    }

    /** Data came on any stream, padding included. */
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
     * Data came on an open stream.
     *
     * @param stream the stream
     * @param bytes with padding
     * @param padding bytes that no user is given
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

    /** Grants the peer what the stream's user has taken, once it is worth a frame. */
    void returnCredit(Http2Stream stream) {
        if (stream.uncreditedBytes() >= streamCreditThreshold) {
            writer.windowUpdate(stream.id(), stream.creditBytes());
        }
    }
}
