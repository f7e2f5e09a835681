package sorrelhoist.core.guard;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Whether one router keeps to its part of a starting engine's budget: over each window of the rule
 * an engine that has just started gets no more than the multiple of its part of what the most used
 * engine of its kind gets, and what chance adds. Counts sends alone; how much is sent is {@code
 * SlowStart}'s to decide.
 */
final class SlowStartGuard {
    private static final double CHANCE =
            3; // roots of the mean, as the rule has it for small counts
    private final double multiple;
    private final long windowMicros;
    private final long coldMicros;
    private final Map<String, Engine> engines = new HashMap<>();

    /** What is known of one engine. */
    private static final class Engine {
        private final ArrayDeque<Long> sends = new ArrayDeque<>();
        private int kind;
        private long toldStart;
        private long startHeardAt = Long.MIN_VALUE;
        private int most;
    }

    SlowStartGuard(double multiple, long windowMicros, long coldMicros) {
        this.multiple = multiple;
        this.windowMicros = windowMicros;
        this.coldMicros = coldMicros;
    }

    /** Hears of an engine's process: another start than the one known is another process. */
    void listed(String id, int kind, long toldStart, long now) {
        Engine known = engines.get(id);
        Engine engine = known == null ? new Engine() : known;
        if (known != null && toldStart != known.toldStart) {
            engine.startHeardAt = now;
            engine.sends.clear();
            engine.most = 0;
        }
        engine.kind = kind;
        engine.toldStart = toldStart;
        engines.put(id, engine);
    }

    void left(String id) {
        engines.remove(id);
    }

    /** Counts a send. {@return whether the engine's budget held} */
    boolean sent(String id, long now) {
        Engine engine = engines.get(id);
        if (engine == null) {
            return true;
        }
        engine.sends.addLast(now);
        while (engine.sends.peekFirst() <= now - windowMicros) {
            engine.sends.pollFirst();
        }
        boolean cold =
                engine.startHeardAt != Long.MIN_VALUE && now - engine.startHeardAt < coldMicros;
        if (!cold) {
            engine.most = Math.max(engine.most, engine.sends.size());
            return true;
        }
        int most =
                engines.values().stream()
                        .filter(e -> e.kind == engine.kind)
                        .mapToInt(e -> e.most)
                        .max()
                        .orElse(0);
        double budget = multiple * most;
        return engine.sends.size() <= budget + CHANCE * Math.sqrt(budget) + CHANCE;
    }
}
