package sorrelhoist.core.request;

/** The latest time that the router's caller gave, in microseconds; it never goes back. */
final class RouterClock {
    private long now = Long.MIN_VALUE;

    void advanceTo(long time) {
        now = Math.max(now, time);
    }

    long now() {
        return now;
    }
}
