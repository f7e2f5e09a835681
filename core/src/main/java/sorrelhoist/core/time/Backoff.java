package sorrelhoist.core.time;

import java.util.SplittableRandom;

/**
 * Waits between attempts at something that fails: doubling, with a random half so that peers part.
 */
public final class Backoff {
    private final long first;
    private final long most;
    private final SplittableRandom random;
    private long wait;

    /**
     * Makes one that has not waited yet.
     *
     * @param firstMicros the first wait, above 0
     * @param mostMicros the longest
     * @param seed of the random half
     */
    public Backoff(long firstMicros, long mostMicros, long seed) {
        this.first = firstMicros;
        this.most = mostMicros;
        this.random = new SplittableRandom(seed);
    }

    /** {@return microseconds to wait after one more failure} */
    public long nextDelayMicros() {
        wait = wait == 0 ? first : Math.min(most, 2 * wait);
        return wait / 2 + random.nextLong(wait / 2 + 1);
    }

    /** It worked: the next failure waits the first time again. */
    public void reset() {
        wait = 0;
    }
}
