package sorrelhoist.routing;

import sorrelhoist.routing.Knowledge.RegressionSums;

/**
 * Linear regression of a time in microseconds on a number of tokens, with decaying weights of old
 * samples.
 */
final class DecayedRegression {
    /**
     * Factor by which the weight of each sample decays with every new one: about 50 samples are
     * effective.
     */
    static final double DECAY = 0.98;

    // Initial synthetic samples: a short and a long prompt on one line.
    private static final double INITIAL_TOKENS = 1000;
    private static final double INITIAL_BASE_MICROS = 30_000;
    private static final double INITIAL_MICROS_PER_TOKEN = 60;

    private double weight = 1;
    private double tokens = INITIAL_TOKENS;
    private double micros = INITIAL_BASE_MICROS + tokens * INITIAL_MICROS_PER_TOKEN;
    private double squaredTokens = 2 * tokens * tokens;
    private double tokensTimesMicros =
            tokens * INITIAL_BASE_MICROS + squaredTokens * INITIAL_MICROS_PER_TOKEN;

    /** Adds one sample. */
    void learn(double sampleTokens, double sampleMicros) {
        weight = weight * DECAY + 1;
        tokens = tokens * DECAY + sampleTokens;
        micros = micros * DECAY + sampleMicros;
        squaredTokens = squaredTokens * DECAY + sampleTokens * sampleTokens;
        tokensTimesMicros = tokensTimesMicros * DECAY + sampleTokens * sampleMicros;
    }

    RegressionSums sums() {
        return new RegressionSums(weight, tokens, micros, squaredTokens, tokensTimesMicros);
    }

    /**
     * Replaces this regression by another router's, with the weight of a given number of samples.
     */
    void adopt(RegressionSums imported, double samples) {
        double scale = samples / imported.weight();
        weight = samples;
        tokens = imported.tokens() * scale;
        micros = imported.micros() * scale;
        squaredTokens = imported.squaredTokens() * scale;
        tokensTimesMicros = imported.tokensTimesMicros() * scale;
    }

    /** {@return the decayed number of samples} */
    double weight() {
        return weight;
    }

    /** {@return the mean time of the samples, in microseconds} */
    double meanMicros() {
        return micros / weight;
    }

    /**
     * {@return the expected time in microseconds, at least 1; a slope that is negative or not
     * supported by the samples counts as 0}
     */
    double micros(double atTokens) {
        double spread = weight * squaredTokens - tokens * tokens;
        double slope =
                spread > weight * weight
                        ? Math.max(0, (weight * tokensTimesMicros - tokens * micros) / spread)
                        : 0;
        return Math.max(1, (micros - slope * tokens) / weight + slope * atTokens);
    }
}
