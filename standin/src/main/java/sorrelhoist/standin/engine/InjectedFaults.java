package sorrelhoist.standin.engine;

import java.util.SplittableRandom;

/** The faults that were injected into an engine, each until a time in microseconds since 1970. */
final class InjectedFaults {
    /** The status message of a request that fails by an injected fault. */
    static final String ERROR_MESSAGE = "told to fail";

    private final SplittableRandom random;
    private long slowUntilMicros;
    private double slowFactor = 1;
    private long errorsUntilMicros;
    private double errorShare;
    private long lossUntilMicros;
    private double lossShare;
    private long hangUntilMicros;
    private boolean draining;

    InjectedFaults(long seed) {
        random = new SplittableRandom(seed);
    }

    /** {@return the generator that draws which requests a fault hits} */
    SplittableRandom random() {
        return random;
    }

    /** Makes each step take this many times as long. */
    void slowDown(double factor, long untilMicros) {
        slowFactor = factor;
        slowUntilMicros = untilMicros;
    }

    /** Makes this share of the requests fail. */
    void failRequests(double share, long untilMicros) {
        errorShare = share;
        errorsUntilMicros = untilMicros;
    }

    /** Makes this share of the requests go without a reply. */
    void loseReplies(double share, long untilMicros) {
        lossShare = share;
        lossUntilMicros = untilMicros;
    }

    /** Makes no step run. */
    void hangUntil(long untilMicros) {
        hangUntilMicros = untilMicros;
    }

    void setDraining(boolean draining) {
        this.draining = draining;
    }

    double slowdown(long nowMicros) {
        return nowMicros < slowUntilMicros ? slowFactor : 1;
    }

    /** Draws for one request. {@return whether it fails} */
    boolean failsRequest(long nowMicros) {
        return nowMicros < errorsUntilMicros && random.nextDouble() < errorShare;
    }

    /** Draws for one request. {@return whether its reply is lost} */
    boolean losesReply(long nowMicros) {
        return nowMicros < lossUntilMicros && random.nextDouble() < lossShare;
    }

    long hangUntilMicros() {
        return hangUntilMicros;
    }

    boolean isDraining() {
        return draining;
    }
}
