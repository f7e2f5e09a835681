package sorrelhoist.protocol.http2;

/**
 * Resource limits of one connection. A peer that exceeds a limit loses its stream or its
 * connection; other connections are not affected.
 *
 * @param maxStreams maximum number of streams that the peer may have open at once; further streams
 *     are refused
 * @param maxHeaderOctets maximum size of a decoded header list (RFC 9113 section 6.5.2) and of its
 *     encoded block
 * @param streamWindow bytes that the peer may send on a stream before it needs credit, 1 to 2^31 -
 *     1
 * @param connectionWindow bytes that the peer may send on all streams before it needs credit,
 *     65,535 to 2^31 - 1
 * @param frameCostPerSecond sustained cost of frames without content, in points per second; see
 *     {@link FrameRateLimiter}
 * @param frameCostBurst capacity of the rate limiter's bucket, in points
 * @param stallTimeoutMicros time for which a preface, a header block or a frame may stay
 *     incomplete, and for which the peer may leave a finished answer unread, in microseconds
 * @param maxOutboundBytes maximum number of bytes in the outbound buffer of a peer that does not
 *     read
 */
public record Http2Limits(
        int maxStreams,
        int maxHeaderOctets,
        int streamWindow,
        int connectionWindow,
        int frameCostPerSecond,
        int frameCostBurst,
        long stallTimeoutMicros,
        int maxOutboundBytes) {
    /** Limits for connections that clients open. */
    public static final Http2Limits SERVER =
            new Http2Limits(1000, 16 << 10, 64 << 10, 4 << 20, 5000, 10_000, 10_000_000, 4 << 20);

    /**
     * Limits for connections that this process opens to engines and planners, whose answers consist
     * of many small frames.
     */
    public static final Http2Limits CLIENT =
            new Http2Limits(0, 16 << 10, 64 << 10, 16 << 20, 50_000, 100_000, 10_000_000, 16 << 20);

    /** {@return a copy with another maximum number of streams} */
    public Http2Limits withMaxStreams(int streams) {
        return new Http2Limits(
                streams,
                maxHeaderOctets,
                streamWindow,
                connectionWindow,
                frameCostPerSecond,
                frameCostBurst,
                stallTimeoutMicros,
                maxOutboundBytes);
    }

    /** {@return a copy with another stream window} */
    public Http2Limits withStreamWindow(int bytes) {
        return new Http2Limits(
                maxStreams,
                maxHeaderOctets,
                bytes,
                connectionWindow,
                frameCostPerSecond,
                frameCostBurst,
                stallTimeoutMicros,
                maxOutboundBytes);
    }

    /** {@return a copy with other rate limits for frames without content} */
    public Http2Limits withFrameCostLimits(int perSecond, int burst) {
        return new Http2Limits(
                maxStreams,
                maxHeaderOctets,
                streamWindow,
                connectionWindow,
                perSecond,
                burst,
                stallTimeoutMicros,
                maxOutboundBytes);
    }

    /** {@return a copy with another stall timeout} */
    public Http2Limits withStallTimeout(long micros) {
        return new Http2Limits(
                maxStreams,
                maxHeaderOctets,
                streamWindow,
                connectionWindow,
                frameCostPerSecond,
                frameCostBurst,
                micros,
                maxOutboundBytes);
    }
}
