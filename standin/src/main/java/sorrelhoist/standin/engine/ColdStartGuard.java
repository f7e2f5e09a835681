package sorrelhoist.standin.engine;

import java.util.ArrayDeque;

/**
 * The speed of an engine that warms up, and the overload that it does not survive while it does:
 * more requests in a window than a multiple of what it can serve just then.
 */
final class ColdStartGuard {
    private final EngineSettings settings;
    private final long startedAtMicros;
    private final ArrayDeque<Long> requestTimes = new ArrayDeque<>();

    ColdStartGuard(EngineSettings settings, long startedAtMicros) {
        this.settings = settings;
        this.startedAtMicros = startedAtMicros;
    }

    /** {@return the share of its full speed that it has now} */
    double speed(long nowMicros) {
        long warmUpMicros = settings.coldMicros();
        double warmth =
                warmUpMicros == 0
                        ? 1
                        : Math.min(1, (nowMicros - startedAtMicros) / (double) warmUpMicros);
        return settings.coldFrom() + (1 - settings.coldFrom()) * warmth;
    }

    /** Counts one more request. {@return whether it is one too many} */
    boolean countRequest(long nowMicros) {
        boolean warm = nowMicros - startedAtMicros >= settings.coldMicros();
        if (settings.warmSendsPerSecond() <= 0 || warm) {
            return false;
        }
        requestTimes.add(nowMicros);
        while (requestTimes.peek() < nowMicros - settings.fallMicros()) {
            requestTimes.poll();
        }
        double budget =
                settings.fallMultiple()
                        * speed(nowMicros)
                        * settings.warmSendsPerSecond()
                        * settings.fallMicros()
                        / 1e6;
        // Arrivals come unevenly: a little more than the budget may be chance.
        return requestTimes.size() > budget + 2 * Math.sqrt(budget) + 2;
    }
}
