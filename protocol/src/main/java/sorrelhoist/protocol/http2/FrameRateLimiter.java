package sorrelhoist.protocol.http2;

import java.util.function.LongSupplier;

/**
 * A token bucket whose points pay for frames without content. Floods (rapid reset, SETTINGS, PING,
 * CONTINUATION, empty or tiny DATA) differ in their frames but not in this: many frames, little
 * content. One bucket bounds them all, those not yet known too.
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

    /** Of a frame for a closed stream that costs nothing to handle. */
    static final int LATE_FRAME_COST = 1;

    /** What each DATA frame sent to the peer gives back. */
    static final int DATA_SENT_CREDIT = 1;

    /** Data frames of fewer bytes than this count as tiny; the smallest gRPC answer is longer. */
    static final int TINY_DATA_BYTES = 8;

    private final double pointsPerNano;
    private final int capacity;
    private final LongSupplier nanoClock;
    private double points;
    private long refilledAt;

    /**
     * Creates a full bucket.
     *
     * @param pointsPerSecond by which it refills
     * @param capacity the most that it holds
     * @param nanoClock nanoseconds that never go back
     */
    FrameRateLimiter(int pointsPerSecond, int capacity, LongSupplier nanoClock) {
        this.pointsPerNano = pointsPerSecond / 1e9;
        this.capacity = capacity;
        this.nanoClock = nanoClock;
        this.points = capacity;
        this.refilledAt = nanoClock.getAsLong();
    }

    /** {@return a full bucket as the limits have it} */
    static FrameRateLimiter of(Http2Limits limits) {
        return new FrameRateLimiter(
                limits.floodPointsPerSecond(), limits.floodPointsBurst(), System::nanoTime);
    }

    /**
     * A DATA frame was sent, which the peer may well answer with a frame: a WINDOW_UPDATE for each
     * may come after the stream has ended (RFC 9113 section 5.1). Without this a client that is
     * served fast enough pays for its own success: at 9,000 requests a second on one connection the
     * refill was spent, and the connection ended.
     */
    void dataSent() {
        points = Math.min(capacity, points + DATA_SENT_CREDIT);
    }

    /**
     * Pays for a frame.
     *
     * @param cost one of the costs above
     * @param frame what came, for the error's text
     * @throws Http2Exception a connection error where the bucket is empty
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
