package sorrelhoist.lab.judge;

import java.util.List;
import sorrelhoist.lab.judge.AttemptHistory.Attempt;

/**
 * Rule 2, second half: one attempt at a time; a cancelled or cut-off one may be on its way out
 * while the next begins.
 */
final class SingleAttemptRule {
    private static final int RULE = 2;
    private final List<TraceEvent> events;
    private final Judge.Limits limits;
    private final Outages outages;
    private final RuleViolations violations;

    SingleAttemptRule(
            List<TraceEvent> events,
            Judge.Limits limits,
            Outages outages,
            RuleViolations violations) {
        this.events = events;
        this.limits = limits;
        this.outages = outages;
        this.violations = violations;
    }

    void check(String request, List<Attempt> attempts) {
        for (int i = 0; i + 1 < attempts.size(); i++) {
            Attempt attempt = attempts.get(i);
            Attempt next = attempts.get(i + 1);
            if (overlap(attempt, next)) {
                String engines = attempt.engine() + " and " + next.engine();
                violations.add(
                        RULE,
                        firstEventFrom(next.from()),
                        "request " + request + " has two attempts out, at " + engines);
            }
        }
    }

    private boolean overlap(Attempt attempt, Attempt next) {
        long wire = limits.wire();
        boolean ending = attempt.isCancelled() && attempt.to() - next.from() <= wire;
        return attempt.to() > next.from() + wire
                && !ending
                && !outages.wasPartitioned(attempt.engine(), attempt.from(), next.from() + wire);
    }

    private TraceEvent firstEventFrom(long micros) {
        return events.stream()
                .filter(event -> event.atMicros() >= micros)
                .findFirst()
                .orElse(events.get(events.size() - 1));
    }
}
