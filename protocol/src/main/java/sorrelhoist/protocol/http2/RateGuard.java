package sorrelhoist.protocol.http2;

/**
 * Points for frames that make work and carry nothing, in a bucket that refills with time. Such floods (rapid
 * reset, SETTINGS, PING, CONTINUATION, empty or tiny DATA) differ in their frames but not in this: many frames,
 * little content. One bucket answers them all, also those not yet thought of.
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

    void spend(int cost, long nanos, String what) throws Http2Exception {
        points = Math.min(burst, points + (nanos - at) * perNano) - cost;
        at = nanos;
        if (points < 0) {
            throw Http2Exception.connection(ErrorCode.ENHANCE_YOUR_CALM, "too many frames without use, last " + what);
        }
    }
}
