package sorrelhoist.standin.engine;

import java.util.ArrayDeque;

/** Counts what a cold engine is sent, and tells when it falls over. */
final class ColdGuard {
    private final EngineSettings s;
    private final long startedAt;
    private final ArrayDeque<Long> sends = new ArrayDeque<>();

    ColdGuard(EngineSettings s, long startedAt) {
        this.s = s;
        this.startedAt = startedAt;
    }

    /** {@return the share of its speed that it has now} */
    double speed(long now) {
        double age =
                s.coldMicros() == 0 ? 1 : Math.min(1, (now - startedAt) / (double) s.coldMicros());
        return s.coldFrom() + (1 - s.coldFrom()) * age;
    }

    /** Counts one more. {@return whether it is too much} */
    boolean sent(long now) {
        if (s.warmSendsPerSecond() <= 0 || now - startedAt >= s.coldMicros()) {
            return false;
        }
        sends.add(now);
        while (sends.peek() < now - s.fallMicros()) {
            sends.poll();
        }
        double budget =
                s.fallMultiple() * speed(now) * s.warmSendsPerSecond() * s.fallMicros() / 1e6;
        // A little slack for chance, as arrivals come unevenly.
        return sends.size() > budget + 2 * Math.sqrt(budget) + 2;
    }
}
