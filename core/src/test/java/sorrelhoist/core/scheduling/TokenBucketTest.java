package sorrelhoist.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the refill, the capacity and debts of a token bucket. */
class TokenBucketTest {
    private static final long SECOND = 1_000_000;

    private final TokenBucket bucket = new TokenBucket(100, 0);

    @Test
    void capacityIsOneSecondOfTokens() {
        assertEquals(100, bucket.available(0));
        assertEquals(100, bucket.available(10 * SECOND));
        bucket.spend(10 * SECOND, 60);
        assertEquals(90, bucket.available(10 * SECOND + SECOND / 2));
    }

    @Test
    void debtIsRefilledBeforeTokensAreAvailable() {
        bucket.spend(0, 150);
        assertEquals(-50, bucket.available(0));
        assertEquals(510_000, bucket.nextAvailableAt(0));
        assertEquals(1, bucket.available(510_000));
        assertEquals(510_000, bucket.nextAvailableAt(510_000));
    }

    @Test
    void clockGoingBackDoesNotChangeTokens() {
        bucket.spend(SECOND, 50);
        assertEquals(50, bucket.available(SECOND / 2));
        assertEquals(50, bucket.available(SECOND));
    }
}
