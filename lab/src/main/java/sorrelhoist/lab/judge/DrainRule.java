package sorrelhoist.lab.judge;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Rule 3: nothing new to an engine later than the grace after the registry told that it drains or
 * is gone. Each edge is reported once for each engine.
 */
final class DrainRule {
    private static final int RULE = 3;
    private final Judge.Limits limits;
    private final RuleViolations violations;
    private final Map<String, Long> drainingSince = new HashMap<>();
    private final Map<String, Set<String>> reportedEdges = new HashMap<>();

    DrainRule(Judge.Limits limits, RuleViolations violations) {
        this.limits = limits;
        this.violations = violations;
    }

    void check(List<TraceEvent> events) {
        events.forEach(this::check);
    }

    private void check(TraceEvent event) {
        switch (event.name()) {
            case "listed" -> listed(event);
            case "start" -> drainingSince.remove(event.source());
            case "killed" -> killed(event);
            case "prefill", "decode" -> checkAttempt(event);
            default -> {}
        }
    }

    private void listed(TraceEvent event) {
        String engine = event.text("engine");
        if (event.text("status").equals("UP")) {
            drainingSince.remove(engine);
        } else {
            drainingSince.putIfAbsent(engine, event.atMicros());
        }
    }

    /** A planner that was killed before it could pass on what it read has told nobody. */
    private void killed(TraceEvent event) {
        if (event.text("target").equals("planner")) {
            drainingSince
                    .values()
                    .removeIf(since -> event.atMicros() - since < limits.drainGrace());
        }
    }

    private void checkAttempt(TraceEvent event) {
        String engine = event.source();
        Long since = drainingSince.get(engine);
        if (since == null || event.atMicros() - since <= limits.drainGrace() + limits.wire()) {
            return;
        }
        String edge = event.text("edge");
        if (reportedEdges.computeIfAbsent(engine, key -> new HashSet<>()).add(edge)) {
            String delay = (event.atMicros() - since) / 1000 + " ms";
            violations.add(
                    RULE,
                    event,
                    "edge "
                            + edge
                            + " sent to "
                            + engine
                            + " "
                            + delay
                            + " after the registry told that it stops");
        }
    }
}
