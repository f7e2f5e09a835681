package sorrelhoist.core.guard;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Whether one router keeps to its part of the budget of an engine in slow start: over each window
 * an engine that has just started gets no more than a multiple of its share of what the most used
 * engine of its kind gets, and what chance adds. Counts sends alone; how much is sent is decided by
 * the routing policy.
 */
final class SlowStartGuard {
    /** Standard deviations that chance may add: small counts scatter. */
    private static final double CHANCE_DEVIATIONS = 3;

    private final double budgetShare;
    private final long windowMicros;
    private final long warmUpMicros;
    private final Map<String, Engine> engines = new HashMap<>();

    /** What is known of one engine. */
    private static final class Engine {
        /** Times of the sends in the present window. */
        private final ArrayDeque<Long> sends = new ArrayDeque<>();

        private int kind;

        /** The start time that discovery gives; it tells processes apart. */
        private long startTime;

        /** When this router heard of the process's start; Long.MIN_VALUE where it did not. */
        private long restartedAt = Long.MIN_VALUE;

        private int maxSendsInWindow;
    }

    SlowStartGuard(double budgetShare, long windowMicros, long warmUpMicros) {
        this.budgetShare = budgetShare;
        this.windowMicros = windowMicros;
        this.warmUpMicros = warmUpMicros;
    }

    /** Hears of an engine's process: another start time than the one known is another process. */
    void engineListed(String id, int kind, long startTime, long now) {
        Engine known = engines.get(id);
        Engine engine = known == null ? new Engine() : known;
        if (known != null && startTime != known.startTime) {
            engine.restartedAt = now;
            engine.sends.clear();
            engine.maxSendsInWindow = 0;
        }
        engine.kind = kind;
        engine.startTime = startTime;
        engines.put(id, engine);
    }

    void engineRemoved(String id) {
        engines.remove(id);
    }

    /** Counts a send. {@return whether the engine's budget held} */
    boolean recordSend(String id, long now) {
        Engine engine = engines.get(id);
        if (engine == null) {
            return true;
        }
        engine.sends.addLast(now);
        while (engine.sends.peekFirst() <= now - windowMicros) {
            engine.sends.pollFirst();
        }
        if (!isWarmingUp(engine, now)) {
            engine.maxSendsInWindow = Math.max(engine.maxSendsInWindow, engine.sends.size());
            return true;
        }
        double budget = budgetShare * mostSendsOfKind(engine.kind);
        return engine.sends.size()
                <= budget + CHANCE_DEVIATIONS * Math.sqrt(budget) + CHANCE_DEVIATIONS;
    }

    private boolean isWarmingUp(Engine engine, long now) {
        return engine.restartedAt != Long.MIN_VALUE && now - engine.restartedAt < warmUpMicros;
    }

    private int mostSendsOfKind(int kind) {
        return engines.values().stream()
                .filter(engine -> engine.kind == kind)
                .mapToInt(engine -> engine.maxSendsInWindow)
                .max()
                .orElse(0);
    }
}
