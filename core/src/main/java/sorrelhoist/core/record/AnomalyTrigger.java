package sorrelhoist.core.record;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.Outcome;

/**
 * Detects decisions that come close to breaking a rule, and degraded service, so that the
 * surrounding record is preserved: a rejection or failure shortly before the client's timeout or
 * after it, a prefill state that was held for almost the reservation limit or longer, and many
 * requests that failed in a short time for other reasons than {@link Reason.Kind#DEADLINE}. It
 * changes no decision and reports each incident once.
 */
public final class AnomalyTrigger implements DecisionListener {
    /** Receives reports of anomalies. */
    public interface AnomalyListener {
        /**
         * Called when a rule came close to being broken, or service degraded.
         *
         * @param at time of the anomaly, in microseconds
         * @param description description of the anomaly, for operators
         */
        void onAnomaly(long at, String description);
    }

    /** Time left of a client's timeout below which a rejection or failure counts as late. */
    private static final long LATE_ANSWER_MICROS = 20_000;

    /** Fraction of the reservation limit above which a state counts as held for almost too long. */
    private static final double NEARLY_EXPIRED_FRACTION = 0.9;

    private static final long FAILURE_WINDOW_MICROS = 1_000_000;
    private static final int FAILURE_THRESHOLD = 50;

    /**
     * Time after a report in which nothing is reported, so that one incident preserves the record
     * only once.
     */
    private static final long REPORT_INTERVAL_MICROS = 60_000_000;

    private static final long MICROS_PER_MILLI = 1000;

    private final DecisionListener next;
    private final long reservationLimitMicros;
    private final AnomalyListener listener;
    private final Map<Long, Long> prefillDoneAt = new HashMap<>();
    private final Deque<Long> failures = new ArrayDeque<>();
    private long noReportBefore = Long.MIN_VALUE;

    /**
     * Creates a trigger.
     *
     * @param next listener that receives every notification before this trigger inspects it
     * @param reservationLimitMicros time within which a held state has to be fetched or released
     * @param listener receives the reports of anomalies
     */
    public AnomalyTrigger(
            DecisionListener next, long reservationLimitMicros, AnomalyListener listener) {
        this.next = next;
        this.reservationLimitMicros = reservationLimitMicros;
        this.listener = listener;
    }

    @Override
    public void onDecision(long at, Event event, List<Action> actions) {
        next.onDecision(at, event, actions);
        if (event instanceof AttemptEnded ended && ended.outcome() == Outcome.READ) {
            prefillDoneAt.put(ended.id(), at);
        }
        for (Action action : actions) {
            if (action instanceof Send send) {
                stateUsed(at, send.id());
            } else if (action instanceof Release release) {
                stateUsed(at, release.id());
            }
        }
        if (event instanceof AttemptEnded ended && ended.ended()) {
            prefillDoneAt.remove(ended.id());
        }
    }

    private void stateUsed(long at, long requestId) {
        Long since = prefillDoneAt.remove(requestId);
        if (since != null && at - since > NEARLY_EXPIRED_FRACTION * reservationLimitMicros) {
            report(
                    at,
                    "rule five: a state was held for "
                            + (at - since) / MICROS_PER_MILLI
                            + " ms of "
                            + reservationLimitMicros / MICROS_PER_MILLI);
        }
    }

    @Override
    public void onKnowledgeAdopted(long at, long age, Knowledge knowledge) {
        next.onKnowledgeAdopted(at, age, knowledge);
    }

    @Override
    public void onRequestSubmitted(RecordEntry.RequestSubmitted request, String prompt) {
        next.onRequestSubmitted(request, prompt);
    }

    @Override
    public void onRequestCompleted(RecordEntry.RequestCompleted completion) {
        next.onRequestCompleted(completion);
        if (isLateRejectionOrFailure(completion)) {
            report(
                    completion.at(),
                    "rule one: an answer came "
                            + completion.leftMicros() / MICROS_PER_MILLI
                            + " ms before its client's time was up");
        }
        if (completion.how() == RecordEntry.Completion.FAILED
                && completion.why().kind() != Reason.Kind.DEADLINE) {
            requestFailed(completion.at());
        }
    }

    private static boolean isLateRejectionOrFailure(RecordEntry.RequestCompleted completion) {
        return switch (completion.how()) {
            case REFUSED, FAILED -> completion.leftMicros() < LATE_ANSWER_MICROS;
            case SERVED, STALLED, LEFT -> false;
        };
    }

    private void requestFailed(long at) {
        failures.add(at);
        while (failures.peek() < at - FAILURE_WINDOW_MICROS) {
            failures.poll();
        }
        if (failures.size() >= FAILURE_THRESHOLD) {
            report(at, failures.size() + " requests failed within a second");
        }
    }

    private void report(long at, String description) {
        if (at >= noReportBefore) {
            noReportBefore = at + REPORT_INTERVAL_MICROS;
            listener.onAnomaly(at, description);
        }
    }
}
