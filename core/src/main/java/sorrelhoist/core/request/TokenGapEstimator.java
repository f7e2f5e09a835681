package sorrelhoist.core.request;

/**
 * Estimates from the gaps between tokens how long a running stream may be silent before it counts
 * as dead. Streams of one kind of engine share one estimate: mean and mean deviation of their gaps,
 * both as moving averages.
 *
 * <p>An engine that runs out of memory reads a prompt again before it goes on, and pauses happen:
 * so the timeout is a large multiple, and never under a floor. Too short a timeout costs an
 * answer's work; too long a one costs its client that much waiting before it is told or served
 * elsewhere.
 */
final class TokenGapEstimator {
    /** A long pause, or a prompt that is read again, is no failure. */
    static final long MIN_TIMEOUT_MICROS = 750_000;

    /** Before enough gaps were seen. */
    private static final long DEFAULT_TIMEOUT_MICROS = 2_500_000;

    /** Of the newest gap in the averages: about fifty gaps count. */
    private static final double NEWEST_WEIGHT = 0.02;

    /** Of mean and deviation: far beyond any batch that still moves. */
    private static final double TIMEOUT_MULTIPLE = 25;

    /** Gaps seen before the estimate is used. */
    private static final int MIN_SAMPLES = 20;

    private final double[] mean;
    private final double[] deviation;
    private final int[] samples;

    /**
     * Creates an estimator that has seen nothing.
     *
     * @param engineKinds how many kinds of engines there are
     */
    TokenGapEstimator(int engineKinds) {
        mean = new double[engineKinds];
        deviation = new double[engineKinds];
        samples = new int[engineKinds];
    }

    /**
     * Records the time between two tokens of a stream.
     *
     * @param engineKind the engine's kind
     * @param gapMicros time between them, in microseconds
     */
    void record(int engineKind, long gapMicros) {
        double weight = Math.max(NEWEST_WEIGHT, 1.0 / (samples[engineKind] + 1));
        double difference = gapMicros - mean[engineKind];
        mean[engineKind] += weight * difference;
        deviation[engineKind] += weight * (Math.abs(difference) - deviation[engineKind]);
        samples[engineKind] = Math.min(MIN_SAMPLES, samples[engineKind] + 1);
    }

    /** {@return for how many microseconds a stream of this kind may be silent} */
    long silenceTimeoutMicros(int engineKind) {
        if (samples[engineKind] < MIN_SAMPLES) {
            return DEFAULT_TIMEOUT_MICROS;
        }
        double expected = mean[engineKind] + deviation[engineKind];
        return (long) Math.max(MIN_TIMEOUT_MICROS, TIMEOUT_MULTIPLE * expected);
    }
}
