package sorrelhoist.protocol.http2;

import sorrelhoist.protocol.hpack.HpackEncoder;

/** What the peer's SETTINGS say, checked (RFC 9113 section 6.5.2). */
final class PeerSettings {
    private static final int MOST_FRAME = 0xFFFFFF;
    private final boolean server;
    private final HpackEncoder encoder;
    private long window = Frames.DEFAULT_WINDOW;
    private int frame = Frames.DEFAULT_FRAME;
    private long streams = Long.MAX_VALUE;

    /**
     * Makes them as they are before the first frame.
     *
     * @param server whether this side serves
     * @param encoder told of the peer's header table
     */
    PeerSettings(boolean server, HpackEncoder encoder) {
        this.server = server;
        this.encoder = encoder;
    }

    /** {@return bytes that a new stream may send} */
    long window() {
        return window;
    }

    /** {@return bytes that a frame may have} */
    int frame() {
        return frame;
    }

    /** {@return streams that may be open at once} */
    long streams() {
        return streams;
    }

    /** Takes one setting. {@return by how much the windows of open streams change} */
    long take(int number, long value) throws Http2Exception {
        switch (number) {
            case Frames.HEADER_TABLE_SIZE -> encoder.peerTableLimit(value);
            case Frames.ENABLE_PUSH -> {
                if (value > 1 || !server && value != 0) {
                    throw Http2Exception.connection(
                            ErrorCode.PROTOCOL_ERROR, "ENABLE_PUSH of " + value);
                }
            }
            case Frames.MAX_CONCURRENT_STREAMS -> streams = value;
            case Frames.INITIAL_WINDOW_SIZE -> {
                if (value > Integer.MAX_VALUE) {
                    throw Http2Exception.connection(
                            ErrorCode.FLOW_CONTROL_ERROR, "INITIAL_WINDOW_SIZE of " + value);
                }
                long more = value - window;
                window = value;
                return more;
            }
            case Frames.MAX_FRAME_SIZE -> {
                if (value < Frames.DEFAULT_FRAME || value > MOST_FRAME) {
                    throw Http2Exception.connection(
                            ErrorCode.PROTOCOL_ERROR, "MAX_FRAME_SIZE of " + value);
                }
                frame = (int) Math.min(value, Frames.DEFAULT_FRAME);
            }
            default -> {}
        }
        return 0;
    }
}
