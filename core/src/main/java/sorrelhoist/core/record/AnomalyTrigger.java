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
 * Reports when a rule came close to being broken, or service degraded, so that the record around it
 * is preserved: an answer at the last moment, a prefill state held almost too long, or many failed
 * requests in a short time. It changes no decision, and reports one incident once.
 */
public final class AnomalyTrigger implements DecisionListener {
    /** Is notified of anomalies. */
    public interface AnomalyListener {
        /**
         * A rule came close to being broken, or service degraded.
         *
         * @param at when, in microseconds
         * @param what happened, for operators
         */
        void onAnomaly(long at, String what);
    }

    /** Of a client's timeout: an answer that leaves less is late. */
    private static final long LAST_MOMENT_MICROS = 20_000;

    /** Of the reservation limit: a state that was held for longer was almost held too long. */
    private static final double NEARLY_EXPIRED = 0.9;

    private static final long FAILURE_WINDOW_MICROS = 1_000_000;
    private static final int MANY_FAILURES = 50;

    /** After each report: one preserved record for one incident. */
    private static final long QUIET_MICROS = 60_000_000;

    private static final long MICROS_PER_MILLI = 1000;

    private final DecisionListener next;
    private final long reservationLimitMicros;
    private final AnomalyListener listener;
    private final Map<Long, Long> prefillDoneAt = new HashMap<>();
    private final Deque<Long> failures = new ArrayDeque<>();
    private long quietUntil = Long.MIN_VALUE;

    /**
     * Creates a trigger.
     *
     * @param next is notified of everything too, before this looks at it
     * @param reservationLimitMicros within which a held state is fetched or released
     * @param listener is notified of anomalies
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
        if (since != null && at - since > NEARLY_EXPIRED * reservationLimitMicros) {
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
        if (isUnservedAtTheLastMoment(completion)) {
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

    private static boolean isUnservedAtTheLastMoment(RecordEntry.RequestCompleted completion) {
        return switch (completion.how()) {
            case REFUSED, FAILED -> completion.leftMicros() < LAST_MOMENT_MICROS;
            case SERVED, STALLED, LEFT -> false;
        };
    }

    private void requestFailed(long at) {
        failures.add(at);
        while (failures.peek() < at - FAILURE_WINDOW_MICROS) {
            failures.poll();
        }
        if (failures.size() >= MANY_FAILURES) {
            report(at, failures.size() + " requests failed within a second");
        }
    }

    private void report(long at, String what) {
        if (at >= quietUntil) {
            quietUntil = at + QUIET_MICROS;
            listener.onAnomaly(at, what);
        }
    }
}
