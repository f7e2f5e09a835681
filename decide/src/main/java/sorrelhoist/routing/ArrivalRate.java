package sorrelhoist.routing;

/**
 * Rate of arrivals at this router: the number of requests and the decaying mean of the gaps between
 * them.
 */
final class ArrivalRate {
    /**
     * Mean gap below which requests are dense: a regression then replaces its samples within the
     * load window.
     */
    private static final double DENSE_GAP_MICROS = 200_000;

    private static final long MAX_GAP_MICROS = SendHistory.LOAD_WINDOW_MICROS;
    private static final double NEW_GAP_WEIGHT = 1 - DecayedRegression.DECAY;

    private double meanGapMicros = DENSE_GAP_MICROS;
    private long lastArrivalAt;
    private long arrivals;

    void recordArrival(long now) {
        arrivals++;
        meanGapMicros +=
                NEW_GAP_WEIGHT * (Math.min(MAX_GAP_MICROS, now - lastArrivalAt) - meanGapMicros);
        lastArrivalAt = now;
    }

    /** {@return whether requests are dense: recent samples then show queueing rather than noise} */
    boolean isDense() {
        return meanGapMicros < DENSE_GAP_MICROS;
    }

    double meanGapMicros() {
        return meanGapMicros;
    }

    long arrivals() {
        return arrivals;
    }
}
