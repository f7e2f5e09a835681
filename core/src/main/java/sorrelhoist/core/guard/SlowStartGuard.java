package sorrelhoist.core.guard;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks that this router keeps to its part of the budget of an engine in slow start: in each
 * window, a recently started engine gets at most a multiple of its share of the sends to the most
 * used engine of its kind, plus an allowance for random variation. It only counts sends; the
 * routing policy decides how many there are.
 */
final class SlowStartGuard {
    /** Allowance for random variation in standard deviations; small counts vary widely. */
    private static final double CHANCE_DEVIATIONS = 3;

    private final double budgetShare;
    private final long windowMicros;
    private final long warmUpMicros;
    private final Map<String, Engine> engines = new HashMap<>();

    /** The state of one engine. */
    private static final class Engine {
        /** Times of the sends in the current window, in microseconds. */
        private final ArrayDeque<Long> sends = new ArrayDeque<>();

        private int kind;

        /** The start time reported by discovery, which identifies the process. */
        private long startTime;

        /**
         * When this router learned that the process was restarted; Long.MIN_VALUE if it was not.
         */
        private long restartedAt = Long.MIN_VALUE;

        private int maxSendsInWindow;
    }

    SlowStartGuard(double budgetShare, long windowMicros, long warmUpMicros) {
        this.budgetShare = budgetShare;
        this.windowMicros = windowMicros;
        this.warmUpMicros = warmUpMicros;
    }

    /**
     * Records a listed engine. A start time that differs from the known one means a new process.
     */
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

    /**
     * Counts a send.
     *
     * @return whether the engine stayed within its budget
     */
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
