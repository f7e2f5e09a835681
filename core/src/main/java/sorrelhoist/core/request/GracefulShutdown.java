package sorrelhoist.core.request;

/**
 * Paces the migration of running streams from a router that shuts down, in deployments where
 * clients reconnect for the rest of a stream. Streams are migrated a few at a time over the
 * available time, so that they do not all reach the other routers at once: the whole text of each
 * migrated stream has to be prefilled again. The youngest streams are migrated first, as old ones
 * may still complete by themselves. Streams are migrated only while another router is live ({@link
 * PeerLiveness}); otherwise their clients would have no router to reconnect to.
 */
public final class GracefulShutdown {
    /** Interval between two migration steps, in microseconds. */
    public static final long STEP_MICROS = 100_000;

    private final long deadline;

    /**
     * Creates the schedule of one shutdown.
     *
     * @param deadline when the last stream should have been migrated, on the caller's clock in
     *     microseconds
     */
    public GracefulShutdown(long deadline) {
        this.deadline = deadline;
    }

    /**
     * Returns the number of streams to migrate in this step.
     *
     * @param now the current time on the caller's clock, in microseconds
     * @param streams number of running streams
     * @param peerIsLive whether another router is live
     * @return a number from 0 to {@code streams}; all of them once the deadline has passed, if
     *     another router is live
     */
    public int streamsToMigrate(long now, int streams, boolean peerIsLive) {
        if (!peerIsLive) {
            return 0;
        }
        long stepsLeft = (deadline - now) / STEP_MICROS;
        return stepsLeft <= 0 ? streams : (int) ((streams + stepsLeft - 1) / stepsLeft);
    }
}
