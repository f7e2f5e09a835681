package sorrelhoist.edge;

import java.time.Instant;

/**
 * A clock of microseconds since 1970 that never goes backwards: reads the system clock once and
 * advances by {@link System#nanoTime}. Thread-safe.
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

    /** Returns the current time in microseconds since 1970. */
    long now() {
        return startMicros + (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
    }
}
