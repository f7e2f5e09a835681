package sorrelhoist.core.request;

/**
 * Judges from what was seen how long a running stream may be silent before it counts as dead.
 * Streams of one kind of engine make up one picture: mean and spread of the times between their
 * tokens.
 *
 * <p>A writer that runs out of memory reads a prompt anew before it goes on, and pauses happen: so
 * the patience is a large multiple, and never under a floor. Too short a patience costs an answer's
 * work; too long a one costs its client that much waiting before it is told or served elsewhere.
 */
public final class Liveness {
    private static final double WEIGHT = 0.02; // of the newest gap: about fifty count
    private static final double MULTIPLE =
            25; // of mean and spread: far beyond any batch that still moves
    static final long FLOOR = 750_000; // a long pause, or a prompt read anew, is no death
    private static final long UNKNOWN = 2_500_000; // before anything was seen
    private static final int ENOUGH = 20; // gaps seen before they are believed
    private final double[] mean;
    private final double[] spread;
    private final int[] seen;

    /**
     * Makes one that has seen nothing.
     *
     * @param kinds how many kinds of engines there are
     */
    public Liveness(int kinds) {
        mean = new double[kinds];
        spread = new double[kinds];
        seen = new int[kinds];
    }

    /**
     * A token followed another.
     *
     * @param kind the engine's kind
     * @param gapMicros time between them
     */
    public void gap(int kind, long gapMicros) {
        double weight = Math.max(WEIGHT, 1.0 / (seen[kind] + 1));
        double off = gapMicros - mean[kind];
        mean[kind] += weight * off;
        spread[kind] += weight * (Math.abs(off) - spread[kind]);
        seen[kind] = Math.min(ENOUGH, seen[kind] + 1);
    }

    /** {@return microseconds that a stream of this kind may be silent} */
    public long patience(int kind) {
        return seen[kind] < ENOUGH
                ? UNKNOWN
                : (long) Math.max(FLOOR, MULTIPLE * (mean[kind] + spread[kind]));
    }
}
