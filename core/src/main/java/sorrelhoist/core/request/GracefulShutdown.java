package sorrelhoist.core.request;

/**
 * How a router that is told to end hands its running streams on, where clients come again for the
 * rest: a few at a time over the time it has, so that they do not all come to the others at once,
 * each with all of its text to be read anew, when it is killed. The youngest go first, as the old
 * ones may still end by themselves. None goes while no other router is there to take it ({@link
 * PeerLiveness}): its client would find nobody.
 */
public final class GracefulShutdown {
    /** Between two looks, in microseconds. */
    public static final long STEP_MICROS = 100_000;

    private final long until;

    /**
     * Plans a departure.
     *
     * @param until when the last stream should have gone, in microseconds of the caller's clock
     */
    public GracefulShutdown(long until) {
        this.until = until;
    }

    /**
     * How many streams go now.
     *
     * @param now the caller's clock
     * @param streams how many run
     * @param somewhere whether another router is there
     * @return 0 to {@code streams}; all once the time is up, where there is another router
     */
    public int streamsToMigrate(long now, int streams, boolean somewhere) {
        long steps = (until - now) / STEP_MICROS;
        return !somewhere ? 0 : steps <= 0 ? streams : (int) ((streams + steps - 1) / steps);
    }
}
