package sorrelhoist.routing;

import sorrelhoist.routing.Reason.Kind;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.DeliveryUnconfirmed;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.StreamStarted;

/** Tracks each request from its arrival through its attempts to its end, and decides on retries. */
final class RequestLifecycle {
    private final RoutingContext context;
    private final RequestTable requests;
    private final StageDispatcher stages;
    private final OutcomeRecorder outcomes;
    private final RetryBudget retries;
    private final DeliveryFailover failover;
    private final RequestConclusion conclusion;

    RequestLifecycle(
            RoutingContext context,
            RequestTable requests,
            StageDispatcher stages,
            OutcomeRecorder outcomes,
            RetryBudget retries,
            DeliveryFailover failover,
            RequestConclusion conclusion) {
        this.context = context;
        this.requests = requests;
        this.stages = stages;
        this.outcomes = outcomes;
        this.retries = retries;
        this.failover = failover;
        this.conclusion = conclusion;
    }

    /** Accepts an arriving request: sets its deadline and dispatches it to its first stage. */
    void onArrival(Arrived event) {
        TrackedRequest request =
                new TrackedRequest(
                        event, context.settings().classes().get(event.cls()), context.now());
        requests.add(request);
        retries.recordArrival();
        context.emit(new Timer(Math.max(0, event.budgetMicros()), event.id()));
        stages.advance(request);
    }

    /** Handles a timer of a request: its deadline, or the next search for a decode endpoint. */
    void onTimer(long id) {
        TrackedRequest request = requests.find(id);
        if (request == null) {
            return;
        }
        boolean awaited = !request.answered && !request.streaming;
        if (awaited && context.now() >= request.deadline) {
            stages.giveUpAtDeadline(request);
        } else if (request.isWaiting()) {
            stages.advance(request);
        }
    }

    /** Handles the first token of an answer. */
    void onStreamStarted(StreamStarted event) {
        TrackedRequest request = requests.findInFlight(event.id(), event.attempt());
        if (request != null) {
            request.streaming = true;
            requests.settle(request);
            outcomes.recordFirstToken(request, request.attempt, event);
        }
    }

    /**
     * Handles the end of an attempt: the request is finished, goes to its next stage, or is
     * retried.
     */
    void onAttemptEnded(AttemptEnded event) {
        TrackedRequest request = requests.findInFlight(event.id(), event.attempt());
        if (request == null) {
            return;
        }
        Attempt attempt = request.attempt;
        request.attempt = null;
        boolean neverReached =
                event.outcome() == Outcome.CONNECT_FAILED
                        || attempt.wasNeverConfirmed(event.outcome());
        if (attempt.prefill || !neverReached) {
            // A decode that did not reach its endpoint leaves the state unused: its idle time goes
            // on.
            request.stateIdleSince = context.now();
        }
        attempt.endpoint.inFlight.ended(request.id, attempt);
        attempt.endpoint.update(event.report());
        request.answered |= event.ended() || request.streaming || event.outcome() == Outcome.DONE;
        outcomes.recordOutcome(request, attempt, event);
        if (request.answered) {
            conclusion.finish(request);
        } else if (event.outcome() == Outcome.READ) {
            request.prefilledAt = attempt.endpoint;
            stages.advance(request);
        } else {
            retry(request, attempt, event);
        }
    }

    private void retry(TrackedRequest request, Attempt attempt, AttemptEnded event) {
        Outcome outcome = event.outcome();
        boolean exemptFromBudget = outcome == Outcome.CONNECT_FAILED || outcome == Outcome.FULL;
        boolean neverRan = attempt.prefill || exemptFromBudget || outcome == Outcome.SKIPPED;
        if (!neverRan && request.mayHaveRunAt == null) {
            request.mayHaveRunAt = attempt.endpoint;
            request.mayHaveRunSince = attempt.sentAt;
        }
        request.failedEndpoints.add(attempt.endpoint);
        dropLostState(request, attempt, event);
        request.rejected = outcome == Outcome.FULL;
        if (IdempotencyGuard.forbidsRetry(request)) {
            conclusion.giveUp(request, Reason.of(Kind.REPEAT_UNSAFE));
        } else if (!exemptFromBudget && retries.isExhausted()) {
            double available = retries.available();
            conclusion.giveUp(request, Reason.compared(Kind.REPEAT_BUDGET, available, 1));
        } else {
            if (!exemptFromBudget) {
                retries.spend();
            }
            stages.advance(request);
        }
    }

    /** Sends a request back to its prefill if its state is lost or is likely to be lost. */
    private void dropLostState(TrackedRequest request, Attempt attempt, AttemptEnded event) {
        Outcome outcome = event.outcome();
        boolean waitsTooLong = context.now() + event.tookMicros() > stages.stateDeadline(request);
        if (outcome == Outcome.FULL && event.note() == OutcomeRecorder.NO_STATE_TO_FETCH) {
            request.prefilledAt = null;
            request.failedEndpoints.remove(attempt.endpoint);
        } else if (event.note() == OutcomeRecorder.STATE_RELEASED
                || outcome == Outcome.ERROR
                || outcome == Outcome.RESET
                || outcome == Outcome.CONNECT_FAILED && waitsTooLong
                || attempt.wasNeverConfirmed(outcome) && isStateLimitReached(request)) {
            // A decode that was broken off has usually fetched the state, so the next decode
            // endpoint would have to process the whole prompt itself, which slows its other
            // requests. After a failed connection, the state would be kept for too long if the next
            // connection took as long to fail. A prefill endpoint has the prompt cached and is
            // fast. Drawback: a state that is still kept is computed twice.
            request.prefilledAt = null;
        }
    }

    /**
     * {@return whether the state has been kept for so long that another decode could not be
     * confirmed in time}
     */
    private boolean isStateLimitReached(TrackedRequest request) {
        return context.now() >= stages.stateDeadline(request);
    }

    /** Handles an attempt that is not confirmed to have reached its endpoint. */
    void onDeliveryUnconfirmed(DeliveryUnconfirmed event) {
        TrackedRequest request = requests.findInFlight(event.id(), event.attempt());
        if (request != null) {
            failover.onDeliveryUnconfirmed(request, event);
        }
    }

    /** Handles the disconnect of the client: no answer has to be sent any more. */
    void onClientGone(long id) {
        TrackedRequest request = requests.find(id);
        if (request != null) {
            conclusion.conclude(request, Reason.of(Kind.CLIENT_GONE));
        }
    }
}
