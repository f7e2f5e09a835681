package sorrelhoist.core.scheduling;

/**
 * A token bucket with a capacity of one second's tokens. It may be overdrawn, as the cost of work
 * is only known afterwards; no tokens are available until the debt is refilled.
 */
final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;

    private final double tokensPerSecond;
    private double tokens;
    private long refilledAt;

    /**
     * Creates a full bucket.
     *
     * @param tokensPerSecond the refill rate per second, which is also the capacity; above 0
     * @param now the time, in microseconds
     */
    TokenBucket(double tokensPerSecond, long now) {
        this.tokensPerSecond = tokensPerSecond;
        this.tokens = tokensPerSecond;
        this.refilledAt = now;
    }

    /** {@return the number of available tokens; negative if the bucket is overdrawn} */
    double available(long now) {
        double refill = Math.max(0, now - refilledAt) * tokensPerSecond / MICROS_PER_SECOND;
        tokens = Math.min(tokensPerSecond, tokens + refill);
        refilledAt = Math.max(refilledAt, now);
        return tokens;
    }

    void spend(long now, double amount) {
        available(now);
        tokens -= amount;
    }

    /** {@return when a token is available, in microseconds; {@code now} if one is} */
    long nextAvailableAt(long now) {
        double availableNow = available(now);
        if (availableNow > 0) {
            return now;
        }
        return now + (long) Math.ceil((1 - availableNow) * MICROS_PER_SECOND / tokensPerSecond);
    }
}
