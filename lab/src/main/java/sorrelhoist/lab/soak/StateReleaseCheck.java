package sorrelhoist.lab.soak;

import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FleetTimeline.RouterIncarnation;
import sorrelhoist.lab.soak.RequestTrace.AttemptTrace;
import sorrelhoist.lab.soak.RequestTrace.StateTrace;

/** What workers hold for a request is used or released in time: {@link Invariant#RELEASED}. */
final class StateReleaseCheck {
    private static final long LATENESS_LIMIT = TimeUnit.MILLISECONDS.toNanos(300);
    private final FleetRules rules;
    private final FleetTimeline timeline;
    private final ViolationCollector violations;

    StateReleaseCheck(FleetRules rules, FleetTimeline timeline, ViolationCollector violations) {
        this.rules = rules;
        this.timeline = timeline;
        this.violations = violations;
    }

    void check(RequestTrace request) {
        RouterIncarnation router = timeline.incarnation(request.router, request.routerIncarnation);
        for (StateTrace state : request.states) {
            long idleSince = idleSince(request, state);
            if (idleSince == RequestTrace.NEVER) {
                // A decode waits for it at a worker that stands still.
                continue;
            }
            long due =
                    idleSince
                            + TimeUnit.MILLISECONDS.toNanos(rules.reservationLimitMillis())
                            + LATENESS_LIMIT
                            + Tolerances.TIMESTAMP / 2;
            if (state.releasedAt > due
                    && router.killedAt > due
                    && router.endedAt > due
                    && due < timeline.lastObservedAt()) {
                violations.add(
                        Invariant.RELEASED,
                        request.id,
                        idleSince,
                        due,
                        describe(request, state, idleSince));
            }
        }
    }

    /** {@return since when no attempt of the request was running, or waited for the state} */
    private static long idleSince(RequestTrace request, StateTrace state) {
        long idleSince = state.heldAt;
        for (AttemptTrace attempt : request.attempts) {
            if (attempt.arrivedAt < state.releasedAt) {
                idleSince = Math.max(idleSince, Math.min(attempt.outUntil(), state.releasedAt));
            }
        }
        return idleSince;
    }

    private static String describe(RequestTrace request, StateTrace state, long idleSince) {
        long millis = TimeUnit.NANOSECONDS.toMillis(state.releasedAt - idleSince);
        String release =
                state.releasedAt == RequestTrace.NEVER
                        ? "never released"
                        : "released " + millis + " ms later";
        return "held at "
                + state.worker
                + " by n"
                + request.router
                + ", "
                + release
                + ", answered "
                + request.status;
    }
}
