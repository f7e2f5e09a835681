package sorrelhoist.protocol.net;

/**
 * Estimates how long the bytes that an event loop reads may have been waiting in the socket buffer.
 *
 * <p>An event loop polls for ready sockets, handles them, runs tasks, and polls again. Bytes found
 * by a poll arrived after the previous poll, which would have found them otherwise. If the poll had
 * to block, they have just arrived. Time in which the whole process was not scheduled is not
 * detected. Must only be used on the event loop's thread.
 */
public final class ReadDelayEstimator {
    /**
     * A poll that takes at least this long has blocked: if a socket is already ready, the poll
     * returns immediately.
     */
    private static final long BLOCKED_POLL_NANOS = 500_000;

    private long pollStartedNanos = System.nanoTime();
    private long pollFinishedNanos = pollStartedNanos;
    private long previousPollFinishedNanos = pollStartedNanos;

    /** Called when the event loop starts to poll for ready sockets. */
    void pollStarted() {
        pollStartedNanos = System.nanoTime();
    }

    /** Called when the event loop has selected the ready sockets, before it handles them. */
    void pollFinished() {
        previousPollFinishedNanos = pollFinishedNanos;
        pollFinishedNanos = System.nanoTime();
    }

    /**
     * {@return the longest time for which bytes that are read now may have been waiting, in
     * nanoseconds}
     */
    public long maxDelayNanos() {
        boolean blocked = pollFinishedNanos - pollStartedNanos >= BLOCKED_POLL_NANOS;
        return System.nanoTime() - (blocked ? pollFinishedNanos : previousPollFinishedNanos);
    }
}
