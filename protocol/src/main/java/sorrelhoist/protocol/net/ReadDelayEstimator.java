package sorrelhoist.protocol.net;

/**
 * Estimates how long bytes that an event loop reads now may have lain in their socket.
 *
 * <p>A loop polls for ready sockets, handles them, runs tasks, and polls again. Bytes that it finds
 * arrived after its poll before, or that would have found them. Where it had to wait for them, they
 * have just arrived. Time in which the whole process was not run is not seen. Used on the loop's
 * thread alone.
 */
public final class ReadDelayEstimator {
    /** A poll that took so long has waited: sockets that were ready before end it at once. */
    private static final long WAITED_NANOS = 500_000;

    private long pollStartedNanos = System.nanoTime();
    private long pollFinishedNanos = pollStartedNanos;
    private long previousPollFinishedNanos = pollStartedNanos;

    /** The loop begins to poll for ready sockets. */
    void pollStarted() {
        pollStartedNanos = System.nanoTime();
    }

    /** The loop has found which sockets are ready, and begins to handle them. */
    void pollFinished() {
        previousPollFinishedNanos = pollFinishedNanos;
        pollFinishedNanos = System.nanoTime();
    }

    /** {@return the most nanoseconds that bytes which are read now can have lain there} */
    public long maxDelayNanos() {
        boolean waited = pollFinishedNanos - pollStartedNanos >= WAITED_NANOS;
        return System.nanoTime() - (waited ? pollFinishedNanos : previousPollFinishedNanos);
    }
}
