package sorrelhoist.protocol.http2;

import sorrelhoist.protocol.hpack.HpackEncoder;

/** The validated settings of the peer (RFC 9113 section 6.5.2). */
final class RemoteSettings {
    private static final int MAX_ALLOWED_FRAME_SIZE = 0xFFFFFF;
    private final boolean server;
    private final HpackEncoder encoder;
    private boolean received;
    private long initialWindowSize = Frames.DEFAULT_WINDOW_SIZE;
    private int maxFrameSize = Frames.DEFAULT_FRAME_SIZE;
    private long maxConcurrentStreams = Long.MAX_VALUE;

    /**
     * Creates the default settings that apply before the first SETTINGS frame.
     *
     * @param server whether this side is the server
     * @param encoder the encoder, to which the peer's header table size is applied
     */
    RemoteSettings(boolean server, HpackEncoder encoder) {
        this.server = server;
        this.encoder = encoder;
    }

    /** {@return whether the peer's first SETTINGS frame has arrived} */
    boolean isReceived() {
        return received;
    }

    /** Records that a SETTINGS frame arrived. {@return whether it is the first} */
    boolean markReceived() {
        boolean first = !received;
        received = true;
        return first;
    }

    /** {@return the initial send window of new streams, in bytes} */
    long initialWindowSize() {
        return initialWindowSize;
    }

    /** {@return the maximum payload size of sent frames, in bytes} */
    int maxFrameSize() {
        return maxFrameSize;
    }

    /** {@return the maximum number of streams that this side may have open at once} */
    long maxConcurrentStreams() {
        return maxConcurrentStreams;
    }

    /**
     * Applies one setting. {@return the number of bytes by which the send windows of open streams
     * change}
     */
    long apply(int identifier, long value) throws Http2Exception {
        switch (identifier) {
            case Frames.HEADER_TABLE_SIZE -> encoder.peerTableLimit(value);
            case Frames.ENABLE_PUSH -> checkEnablePush(value);
            case Frames.MAX_CONCURRENT_STREAMS -> maxConcurrentStreams = value;
            case Frames.INITIAL_WINDOW_SIZE -> {
                return changeInitialWindowSize(value);
            }
            case Frames.MAX_FRAME_SIZE -> changeMaxFrameSize(value);
            default -> {
                // Unknown settings must be ignored (section 6.5.2).
            }
        }
        return 0;
    }

    private void checkEnablePush(long value) throws Http2Exception {
        if (value > 1 || !server && value != 0) {
            throw Http2Exception.connection(ErrorCode.PROTOCOL_ERROR, "ENABLE_PUSH of " + value);
        }
    }

    private long changeInitialWindowSize(long value) throws Http2Exception {
        if (value > Frames.MAX_WINDOW_SIZE) {
            throw Http2Exception.connection(
                    ErrorCode.FLOW_CONTROL_ERROR, "INITIAL_WINDOW_SIZE of " + value);
        }
        long change = value - initialWindowSize;
        initialWindowSize = value;
        return change;
    }

    private void changeMaxFrameSize(long value) throws Http2Exception {
        if (value < Frames.DEFAULT_FRAME_SIZE || value > MAX_ALLOWED_FRAME_SIZE) {
            throw Http2Exception.connection(ErrorCode.PROTOCOL_ERROR, "MAX_FRAME_SIZE of " + value);
        }
        // Larger frames would only delay other streams.
        maxFrameSize = (int) Math.min(value, Frames.DEFAULT_FRAME_SIZE);
    }
}
