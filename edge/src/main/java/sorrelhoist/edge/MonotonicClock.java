package sorrelhoist.edge;

import java.time.Instant;

/**
 * Microseconds since 1970 that never go back: read once from the system clock, then carried on by
 * the monotonic clock. Thread-safe.
 */
final class MonotonicClock {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long NANOS_PER_MICRO = 1000;

    private final long startMicros;
    private final long startNanos = System.nanoTime();

    MonotonicClock() {
        Instant start = Instant.now();
        startMicros =
                start.getEpochSecond() * MICROS_PER_SECOND + start.getNano() / NANOS_PER_MICRO;
    }

    /** {@return microseconds since 1970} */
    long now() {
        return startMicros + (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
    }
}
