package sorrelhoist.core.scheduling;

/**
 * A bucket of something that refills with time, up to a second's worth. What was overspent is paid
 * back first.
 */
final class Allowance {
    private static final double SECOND = 1e6;
    private final double perSecond;
    private double left;
    private long at;

    /**
     * Makes a full one.
     *
     * @param perSecond what comes back in a second, above 0
     * @param now microseconds
     */
    Allowance(double perSecond, long now) {
        this.perSecond = perSecond;
        this.left = perSecond;
        this.at = now;
    }

    /** {@return what may be spent now; below 0 where too much was} */
    double left(long now) {
        left = Math.min(perSecond, left + Math.max(0, now - at) * perSecond / SECOND);
        at = Math.max(at, now);
        return left;
    }

    void spend(long now, double amount) {
        left(now);
        left -= amount;
    }

    /** {@return when something may be spent again} */
    long freeAt(long now) {
        double have = left(now);
        return have > 0 ? now : now + (long) Math.ceil((1 - have) * SECOND / perSecond);
    }
}
