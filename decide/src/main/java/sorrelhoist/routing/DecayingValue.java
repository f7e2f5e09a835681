package sorrelhoist.routing;

/** A value that decays exponentially from its last update: a delay in microseconds, or a count. */
final class DecayingValue {
    /** Time constant of the decay: a value decays to 1/e, about a third, within this time. */
    static final double DECAY_TIME_MICROS = 1_500_000;

    private double value;
    private long updatedAt;

    void set(double newValue, long now) {
        value = newValue;
        updatedAt = now;
    }

    /**
     * Moves the value towards a sample. The weight of the sample grows with the time since the last
     * update.
     */
    void moveTowards(double sample, long now) {
        value += (1 - Math.exp((updatedAt - now) / DECAY_TIME_MICROS)) * (sample - value);
        updatedAt = now;
    }

    /** Adds one to the decayed value and returns the sum. */
    double increment(long now) {
        value = 1 + value * Math.exp((updatedAt - now) / DECAY_TIME_MICROS);
        updatedAt = now;
        return value;
    }

    /** Sets the value to 0 and keeps the time of its last update. */
    void clear() {
        value = 0;
    }

    /** {@return the decayed value at a time} */
    double valueAt(long now) {
        return value == 0 ? 0 : value * Math.exp((updatedAt - now) / DECAY_TIME_MICROS);
    }
}
