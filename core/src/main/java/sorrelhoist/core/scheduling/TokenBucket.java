package sorrelhoist.core.scheduling;

/**
 * A token bucket that holds up to a second's worth. It may be overdrawn, as the cost of work is
 * known only afterwards; a debt is paid back before anything is available again.
 */
final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;

    private final double tokensPerSecond;
    private double tokens;
    private long refilledAt;

    /**
     * Creates a full bucket.
     *
     * @param tokensPerSecond its rate and its capacity, above 0
     * @param now microseconds
     */
    TokenBucket(double tokensPerSecond, long now) {
        this.tokensPerSecond = tokensPerSecond;
        this.tokens = tokensPerSecond;
        this.refilledAt = now;
    }

    /** {@return tokens that may be spent now; below 0 where too many were} */
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

    /** {@return when a token is available, in microseconds} */
    long nextAvailableAt(long now) {
        double have = available(now);
        if (have > 0) {
            return now;
        }
        return now + (long) Math.ceil((1 - have) * MICROS_PER_SECOND / tokensPerSecond);
    }
}
