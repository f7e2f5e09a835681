package sorrelhoist.protocol.http2;

/**
 * Points for frames that make work and carry nothing, in a bucket that refills with time. Such
 * floods (rapid reset, SETTINGS, PING, CONTINUATION, empty or tiny DATA) differ in their frames but
 * not in this: many frames, little content. One bucket answers them all, also those not yet thought
 * of.
 */
final class RateGuard {
    static final int RESET = 10;
    static final int SETTINGS = 10;
    static final int PING = 5;
    static final int CONTINUATION = 20;
    static final int PRIORITY = 2;
    static final int STRAY = 10;
    static final int EMPTY_DATA = 10;
    static final int TINY_DATA = 2;
    static final int UNKNOWN = 5;
    static final int UPDATE = 1;

    /** Data frames of fewer bytes than this count as tiny; the smallest gRPC answer is longer. */
    static final int TINY = 8;

    private final double perNano;
    private final int burst;
    private double points;
    private long at;

    RateGuard(int perSecond, int burst, long nanos) {
        this.perNano = perSecond / 1e9;
        this.burst = burst;
        this.points = burst;
        this.at = nanos;
    }

    /**
     * The peer was given something that it may well answer with a frame: a WINDOW_UPDATE for each
     * DATA frame may come after the stream has ended (RFC 9113 section 5.1). Without this a client
     * that is served fast enough pays for its own success: at 9,000 requests a second on one
     * connection the refill was spent, and the connection ended.
     */
    void earn(int gain) {
        points = Math.min(burst, points + gain);
    }

    void spend(int cost, long nanos, String what) throws Http2Exception {
        points = Math.min(burst, points + (nanos - at) * perNano) - cost;
        at = nanos;
        if (points < 0) {
            throw Http2Exception.connection(
                    ErrorCode.ENHANCE_YOUR_CALM, "too many frames without use, last " + what);
        }
    }
}
