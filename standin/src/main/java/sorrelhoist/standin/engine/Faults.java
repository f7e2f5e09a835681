package sorrelhoist.standin.engine;

import java.util.SplittableRandom;

/** What an engine was told to suffer, each until a time. */
final class Faults {
    final SplittableRandom random;
    private long slowUntil;
    private double slow = 1;
    private long errorsUntil;
    private double errors;
    private long loseUntil;
    private double lose;
    long hangUntil;
    boolean draining;

    Faults(long seed) {
        random = new SplittableRandom(seed);
    }

    void slow(double factor, long until) {
        slow = factor;
        slowUntil = until;
    }

    void errors(double share, long until) {
        errors = share;
        errorsUntil = until;
    }

    void lose(double share, long until) {
        lose = share;
        loseUntil = until;
    }

    double slowness(long now) {
        return now < slowUntil ? slow : 1;
    }

    boolean errorNow(long now) {
        return now < errorsUntil && random.nextDouble() < errors;
    }

    boolean loseNow(long now) {
        return now < loseUntil && random.nextDouble() < lose;
    }
}
