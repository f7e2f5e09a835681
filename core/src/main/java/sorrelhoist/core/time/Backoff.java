package sorrelhoist.core.time;

import java.util.SplittableRandom;

/** Delays between retries: doubling, with a random half so that clients do not retry together. */
public final class Backoff {
    private final long firstMicros;
    private final long maxMicros;
    private final SplittableRandom random;
    private long delayMicros;

    /**
     * Creates a backoff without a failure.
     *
     * @param firstMicros the first delay, above 0, in microseconds
     * @param maxMicros the longest delay, in microseconds
     * @param seed of the random half
     */
    public Backoff(long firstMicros, long maxMicros, long seed) {
        this.firstMicros = firstMicros;
        this.maxMicros = maxMicros;
        this.random = new SplittableRandom(seed);
    }

    /** {@return microseconds to wait after one more failure} */
    public long nextDelayMicros() {
        delayMicros = delayMicros == 0 ? firstMicros : Math.min(maxMicros, 2 * delayMicros);
        return delayMicros / 2 + random.nextLong(delayMicros / 2 + 1);
    }

    /** A retry succeeded: the next failure waits for the first delay again. */
    public void reset() {
        delayMicros = 0;
    }
}
