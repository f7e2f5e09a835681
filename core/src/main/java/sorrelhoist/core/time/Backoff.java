package sorrelhoist.core.time;

import java.util.SplittableRandom;

/**
 * Exponential backoff between retries. Half of each delay is random, so that clients do not retry
 * at the same time.
 */
public final class Backoff {
    private final long firstMicros;
    private final long maxMicros;
    private final SplittableRandom random;
    private long delayMicros;

    /**
     * Creates a backoff in its initial state.
     *
     * @param firstMicros the first delay, above 0, in microseconds
     * @param maxMicros the longest delay, in microseconds
     * @param seed the seed of the random half
     */
    public Backoff(long firstMicros, long maxMicros, long seed) {
        this.firstMicros = firstMicros;
        this.maxMicros = maxMicros;
        this.random = new SplittableRandom(seed);
    }

    /** {@return the delay after another failure, in microseconds} */
    public long nextDelayMicros() {
        delayMicros = delayMicros == 0 ? firstMicros : Math.min(maxMicros, 2 * delayMicros);
        return delayMicros / 2 + random.nextLong(delayMicros / 2 + 1);
    }

    /** Resets the delay after a success; the next failure uses the first delay again. */
    public void reset() {
        delayMicros = 0;
    }
}
