package sorrelhoist.core.request;

/**
 * Estimates from the gaps between tokens how long a running stream may be silent before it is
 * considered dead. All streams from one kind of engine share one estimate: the mean and the mean
 * absolute deviation of their gaps, both as exponential moving averages.
 *
 * <p>An engine that runs out of memory prefills a prompt again before it continues, and other
 * pauses occur as well. The timeout is therefore a large multiple of the estimate and never below a
 * minimum. A timeout that is too short wastes the work spent on an answer; one that is too long
 * delays the client's error, or the resumption at another engine, accordingly.
 */
final class TokenGapEstimator {
    /** A pause shorter than this is not treated as a failure; it may be a repeated prefill. */
    static final long MIN_TIMEOUT_MICROS = 750_000;

    /** Used until enough gaps have been recorded. */
    private static final long DEFAULT_TIMEOUT_MICROS = 2_500_000;

    /** Weight of the newest gap in the averages; about fifty gaps contribute. */
    private static final double NEWEST_WEIGHT = 0.02;

    /**
     * Factor applied to the sum of mean and deviation; far beyond the gap of any batch that still
     * makes progress.
     */
    private static final double TIMEOUT_MULTIPLE = 25;

    /** Number of gaps recorded before the estimate is used. */
    private static final int MIN_SAMPLES = 20;

    private final double[] mean;
    private final double[] deviation;
    private final int[] samples;

    /**
     * Creates an estimator without samples.
     *
     * @param engineKinds number of engine kinds
     */
    TokenGapEstimator(int engineKinds) {
        mean = new double[engineKinds];
        deviation = new double[engineKinds];
        samples = new int[engineKinds];
    }

    /**
     * Records the time between two tokens of a stream.
     *
     * @param engineKind index of the engine's kind
     * @param gapMicros time between the two tokens, in microseconds
     */
    void record(int engineKind, long gapMicros) {
        double weight = Math.max(NEWEST_WEIGHT, 1.0 / (samples[engineKind] + 1));
        double difference = gapMicros - mean[engineKind];
        mean[engineKind] += weight * difference;
        deviation[engineKind] += weight * (Math.abs(difference) - deviation[engineKind]);
        samples[engineKind] = Math.min(MIN_SAMPLES, samples[engineKind] + 1);
    }

    /** {@return how long a stream from this kind of engine may be silent, in microseconds} */
    long silenceTimeoutMicros(int engineKind) {
        if (samples[engineKind] < MIN_SAMPLES) {
            return DEFAULT_TIMEOUT_MICROS;
        }
        double expected = mean[engineKind] + deviation[engineKind];
        return (long) Math.max(MIN_TIMEOUT_MICROS, TIMEOUT_MULTIPLE * expected);
    }
}
