package sorrelhoist.protocol.http2;

import java.util.function.LongSupplier;

/**
 * Limits frames without content with a token bucket of points. All flood attacks (rapid reset,
 * SETTINGS, PING, CONTINUATION, empty or tiny DATA) send many frames with little content. One
 * bucket for all frame types limits known and unknown variants.
 */
final class FrameRateLimiter {
    static final int RESET_COST = 10;
    static final int SETTINGS_COST = 10;
    static final int GOAWAY_COST = 10;
    static final int PING_COST = 5;
    static final int CONTINUATION_COST = 20;
    static final int PRIORITY_COST = 2;
    static final int SETTINGS_ACK_COST = 2;
    static final int REFUSED_STREAM_COST = 10;
    static final int EMPTY_DATA_COST = 10;
    static final int TINY_DATA_COST = 2;
    static final int CLOSED_STREAM_COST = 2;
    static final int UNKNOWN_COST = 5;

    /** Cost of a RST_STREAM or WINDOW_UPDATE for a closed stream, which takes no work to handle. */
    static final int CLOSED_STREAM_CONTROL_FRAME_COST = 1;

    /** Points returned for each DATA frame sent to the peer. */
    static final int DATA_SENT_CREDIT = 1;

    /** DATA frames with fewer bytes than this count as tiny. The smallest gRPC answer is longer. */
    static final int TINY_DATA_BYTES = 8;

    private final double pointsPerNano;
    private final int capacity;
    private final LongSupplier nanoClock;
    private double points;
    private long refilledAt;

    /**
     * Creates a full bucket.
     *
     * @param pointsPerSecond refill rate
     * @param capacity maximum number of points
     * @param nanoClock monotonic clock, in nanoseconds
     */
    FrameRateLimiter(int pointsPerSecond, int capacity, LongSupplier nanoClock) {
        this.pointsPerNano = pointsPerSecond / 1e9;
        this.capacity = capacity;
        this.nanoClock = nanoClock;
        this.points = capacity;
        this.refilledAt = nanoClock.getAsLong();
    }

    /** {@return a rate limiter with a full bucket for the connection's limits} */
    static FrameRateLimiter of(Http2Limits limits) {
        return new FrameRateLimiter(
                limits.frameCostPerSecond(), limits.frameCostBurst(), System::nanoTime);
    }

    /**
     * Returns points for a DATA frame sent to the peer, which may send a WINDOW_UPDATE for each
     * one, even after the stream has ended (RFC 9113 section 5.1). Without this credit a busy but
     * correct client would exceed the limit: at 9,000 requests per second on one connection the
     * bucket ran empty and the connection was closed.
     */
    void dataSent() {
        points = Math.min(capacity, points + DATA_SENT_CREDIT);
    }

    /**
     * Charges a frame to the bucket.
     *
     * @param cost one of the costs above
     * @param frame the frame type, for the error message
     * @throws Http2Exception a connection error if the bucket has too few points
     */
    void charge(int cost, String frame) throws Http2Exception {
        long now = nanoClock.getAsLong();
        points = Math.min(capacity, points + (now - refilledAt) * pointsPerNano) - cost;
        refilledAt = now;
        if (points < 0) {
            throw Http2Exception.connection(
                    ErrorCode.ENHANCE_YOUR_CALM, "too many frames without use, last " + frame);
        }
    }
}
