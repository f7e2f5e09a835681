package sorrelhoist.core.request;

/**
 * The latest time passed in by the caller of the router, in microseconds. Never moves backwards.
 */
final class RouterClock {
    private long now = Long.MIN_VALUE;

    void advanceTo(long time) {
        now = Math.max(now, time);
    }

    long now() {
        return now;
    }
}
