package sorrelhoist.edge;

import java.time.Instant;

/**
 * Microseconds since 1970 that never go back: read once from the wall, then carried on by the
 * monotonic clock.
 */
final class Clock {
    private final long start;
    private final long nanos = System.nanoTime();

    Clock() {
        Instant t = Instant.now();
        start = t.getEpochSecond() * 1_000_000 + t.getNano() / 1000;
    }

    long now() {
        return start + (System.nanoTime() - nanos) / 1000;
    }
}
