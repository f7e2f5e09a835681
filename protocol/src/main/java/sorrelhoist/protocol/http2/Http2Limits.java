package sorrelhoist.protocol.http2;

/**
 * What one connection may cost. Past a limit its peer loses the connection, and nobody else
 * anything.
 *
 * @param maxStreams streams that the peer may have open at once; more are refused
 * @param maxHeaderOctets what one header list may decode to (RFC 9113 section 6.5.2), and its block
 *     take
 * @param streamWindow bytes that a stream may send before it is given credit, 1 to 2^31 - 1
 * @param connectionWindow the same for all streams together, 65,535 to 2^31 - 1
 * @param floodPointsPerSecond points that frames without content may cost a second; see {@link
 *     FrameRateLimiter}
 * @param floodPointsBurst points that may be saved up
 * @param stallTimeoutMicros for which a preface, a header block or a frame may stay incomplete, in
 *     microseconds
 * @param maxOutboundBytes bytes that may wait for a peer that does not read
 */
public record Http2Limits(
        int maxStreams,
        int maxHeaderOctets,
        int streamWindow,
        int connectionWindow,
        int floodPointsPerSecond,
        int floodPointsBurst,
        long stallTimeoutMicros,
        int maxOutboundBytes) {
    /** For connections that clients open. */
    public static final Http2Limits SERVER =
            new Http2Limits(1000, 16 << 10, 64 << 10, 4 << 20, 5000, 10_000, 10_000_000, 4 << 20);

    /**
     * For connections that this program opens to engines and planners, whose streams answer in
     * small frames.
     */
    public static final Http2Limits CLIENT =
            new Http2Limits(0, 16 << 10, 64 << 10, 16 << 20, 50_000, 100_000, 10_000_000, 16 << 20);

    /** {@return the same with another number of streams} */
    public Http2Limits withMaxStreams(int streams) {
        return new Http2Limits(
                streams,
                maxHeaderOctets,
                streamWindow,
                connectionWindow,
                floodPointsPerSecond,
                floodPointsBurst,
                stallTimeoutMicros,
                maxOutboundBytes);
    }

    /** {@return the same with another window for each stream} */
    public Http2Limits withStreamWindow(int bytes) {
        return new Http2Limits(
                maxStreams,
                maxHeaderOctets,
                bytes,
                connectionWindow,
                floodPointsPerSecond,
                floodPointsBurst,
                stallTimeoutMicros,
                maxOutboundBytes);
    }

    /** {@return the same with other points for abuse} */
    public Http2Limits withFloodPoints(int perSecond, int burst) {
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

    /** {@return the same with another timeout for incomplete frames} */
    public Http2Limits withStallTimeout(long micros) {
        return new Http2Limits(
                maxStreams,
                maxHeaderOctets,
                streamWindow,
                connectionWindow,
                floodPointsPerSecond,
                floodPointsBurst,
                micros,
                maxOutboundBytes);
    }
}
