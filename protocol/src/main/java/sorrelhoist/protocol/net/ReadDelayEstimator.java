package sorrelhoist.protocol.net;

/**
 * How long bytes that an event loop reads now may have lain in their socket.
 *
 * <p>A loop looks for ready sockets, handles them, runs tasks, and looks again. Bytes that it finds
 * came after it looked the time before, or it would have found them then. Where it had to wait for
 * them, they have just come. Time in which the whole process was not run is not seen. Used on the
 * loop's thread alone.
 */
public final class ReadDelayEstimator {
    private static final long WAITED_NANOS = 500_000;
    private long lookedFrom = System.nanoTime();
    private long foundAt = lookedFrom;
    private long foundBefore = lookedFrom;

    /** The loop begins to look for ready sockets. */
    void looks() {
        lookedFrom = System.nanoTime();
    }

    /** The loop has found which sockets are ready, and begins to handle them. */
    void found() {
        foundBefore = foundAt;
        foundAt = System.nanoTime();
    }

    /** {@return the most nanoseconds that bytes which are read now can have lain there} */
    public long maxDelayNanos() {
        boolean waited = foundAt - lookedFrom >= WAITED_NANOS;
        return System.nanoTime() - (waited ? foundAt : foundBefore);
    }
}
