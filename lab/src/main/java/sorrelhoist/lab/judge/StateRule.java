package sorrelhoist.lab.judge;

import sorrelhoist.lab.judge.AttemptHistory.Attempt;

/** Rule 5: no state held with no attempt out for longer than the limit. */
final class StateRule {
    private static final int RULE = 5;
    private static final int NO_ATTEMPT = -1;
    private final AttemptHistory attempts;
    private final long endOfTrace;
    private final Judge.Limits limits;
    private final Outages outages;
    private final RuleViolations violations;

    StateRule(
            AttemptHistory attempts,
            long endOfTrace,
            Judge.Limits limits,
            Outages outages,
            RuleViolations violations) {
        this.attempts = attempts;
        this.endOfTrace = endOfTrace;
        this.limits = limits;
        this.outages = outages;
        this.violations = violations;
    }

    void check(String state, TraceEvent held) {
        long heldUntil = heldUntil(state, held);
        boolean abandoned = isAbandoned(held, heldUntil);
        long idleSince = held.atMicros();
        long lastNumber = NO_ATTEMPT;
        for (Attempt attempt : attempts.ofRequest(held.text("req"))) {
            if (attempt.from() >= held.atMicros() && attempt.from() <= heldUntil) {
                // An attempt that no stand-in saw was sent to one that is dead or cut off.
                boolean unseenAttempt =
                        attempt.number() != lastNumber + 1
                                && outages.wasAnyEngineUnreachable(idleSince, attempt.from());
                if (!abandoned && !unseenAttempt) {
                    checkIdle(state, held, idleSince, attempt.from());
                }
                long end = attempt.to() == Long.MAX_VALUE ? heldUntil : attempt.to();
                idleSince = Math.max(idleSince, end);
            }
            lastNumber = attempt.number();
        }
        if (!abandoned && !outages.wasAnyEngineUnreachable(idleSince, heldUntil)) {
            checkIdle(state, held, idleSince, heldUntil);
        }
    }

    private long heldUntil(String state, TraceEvent held) {
        TraceEvent freed = attempts.freed(state);
        return freed != null
                ? freed.atMicros()
                : outages.firstKill(held.source(), held.atMicros()).orElse(endOfTrace);
    }

    /**
     * Tells whether the state's edge could not release it: the engine was cut off, or the edge was
     * killed, and the engine frees it by itself some seconds later.
     */
    private boolean isAbandoned(TraceEvent held, long heldUntil) {
        return outages.wasPartitioned(held.source(), held.atMicros(), heldUntil)
                || outages.wasAnyEdgeKilled(held.atMicros() - limits.wire(), heldUntil);
    }

    private void checkIdle(String state, TraceEvent held, long from, long to) {
        if (to - from > limits.release() + limits.wire()) {
            violations.add(
                    RULE,
                    held,
                    "state "
                            + state
                            + " of request "
                            + held.text("req")
                            + " was held for "
                            + (to - from) / 1000
                            + " ms with no attempt out");
        }
    }
}
