package sorrelhoist.routing;

/**
 * A quantity that was observed once and fades from then on: a delay in microseconds, or a count.
 */
final class DecayingDelay {
    /** Time in which a value fades to a third. */
    static final double FADE_MICROS = 1_500_000;

    private double value;
    private long updatedAt;

    /** Replaces the value. */
    void set(double newValue, long now) {
        value = newValue;
        updatedAt = now;
    }

    /** Moves the value towards a sample, the further the longer ago the last sample was. */
    void approach(double sample, long now) {
        value += (1 - Math.exp((updatedAt - now) / FADE_MICROS)) * (sample - value);
        updatedAt = now;
    }

    /** Adds one to what has not faded yet and returns the sum. */
    double increment(long now) {
        value = 1 + value * Math.exp((updatedAt - now) / FADE_MICROS);
        updatedAt = now;
        return value;
    }

    /** Drops the value but not the time of its last update. */
    void clear() {
        value = 0;
    }

    /** {@return what is left of the value now} */
    double at(long now) {
        return value == 0 ? 0 : value * Math.exp((updatedAt - now) / FADE_MICROS);
    }
}
