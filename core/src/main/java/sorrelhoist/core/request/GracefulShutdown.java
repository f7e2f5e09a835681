package sorrelhoist.core.request;

/**
 * Paces how a router that shuts down migrates its running streams, where clients come again for the
 * rest: a few at a time over the time it has, so that they do not all come to the others at once,
 * each with all of its text to be read again. The youngest go first, as old ones may still end by
 * themselves. None goes while no other router is there to take it ({@link PeerLiveness}): its
 * client would find nobody.
 */
public final class GracefulShutdown {
    /** Between two steps, in microseconds. */
    public static final long STEP_MICROS = 100_000;

    private final long deadline;

    /**
     * Plans a shutdown.
     *
     * @param deadline when the last stream should have gone, in microseconds of the caller's clock
     */
    public GracefulShutdown(long deadline) {
        this.deadline = deadline;
    }

    /**
     * How many streams to migrate in this step.
     *
     * @param now the caller's clock, in microseconds
     * @param streams how many run
     * @param peerIsLive whether another router is there
     * @return 0 to {@code streams}; all once the time is up, where there is another router
     */
    public int streamsToMigrate(long now, int streams, boolean peerIsLive) {
        if (!peerIsLive) {
            return 0;
        }
        long stepsLeft = (deadline - now) / STEP_MICROS;
        return stepsLeft <= 0 ? streams : (int) ((streams + stepsLeft - 1) / stepsLeft);
    }
}
