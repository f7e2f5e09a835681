package sorrelhoist.core.request;

import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.StreamStarted;

/**
 * Tracks attempts. Ensures that every send ordered by the routing policy gets exactly one outcome.
 */
final class AttemptTracker {
    private final RouterClock clock;
    private final DecisionLoop decisions;
    private final RequestReservations reservations;
    private final AttemptDeliveries deliveries;
    private long sends;
    private long outcomes;

    AttemptTracker(
            RouterClock clock,
            DecisionLoop decisions,
            RequestReservations reservations,
            AttemptDeliveries deliveries) {
        this.clock = clock;
        this.decisions = decisions;
        this.reservations = reservations;
        this.deliveries = deliveries;
    }

    /** Counts a send that the policy ordered. */
    void sendOrdered() {
        sends++;
    }

    /** Reports the outcome of a send that was ordered but not started. */
    void skipped(Send send, int number, Outcome outcome, boolean requestOver) {
        outcomes++;
        decisions.submitEvent(
                new AttemptEnded(
                        send.id(),
                        number,
                        send.server(),
                        outcome,
                        0,
                        requestOver,
                        0,
                        ServerLoad.NONE));
    }

    /** Called before an attempt is sent. */
    void started(Attempt attempt) {
        attempt.request.runningAttempt = attempt;
        attempt.request.apply(
                attempt.prefill
                        ? RequestPhase.Transition.PREFILL_SENT
                        : RequestPhase.Transition.DECODE_SENT);
    }

    /** Called when an attempt waits for a connection, so that none of it has been written yet. */
    void connecting(Attempt attempt) {
        attempt.delivery.connecting();
        reservations.connecting(attempt.request);
    }

    /** Called when the last byte of an attempt was written. */
    void written(Attempt attempt) {
        deliveries.written(attempt);
        reservations.written(attempt.request);
    }

    /**
     * Called when a prefill succeeded; its state is held at the engine until it is fetched or
     * released.
     */
    void prefillCompleted(Attempt attempt, String stateId, long cachedTokens, ServerLoad load) {
        RequestState request = attempt.request;
        reservations.prefillCompleted(attempt, stateId);
        request.apply(RequestPhase.Transition.PREFILL_COMPLETED);
        ended(attempt, Outcome.READ, request.finished, cachedTokens, load);
    }

    /** Called when the first token of an attempt was received. */
    void streamStarted(Attempt attempt) {
        RequestState request = attempt.request;
        attempt.streaming = true;
        deliveries.answered(attempt);
        request.apply(RequestPhase.Transition.FIRST_TOKEN);
        reservations.reservationsUsed(request);
        decisions.submitEvent(
                new StreamStarted(
                        request.routingId,
                        attempt.id.number(),
                        attempt.engine,
                        clock.now() - attempt.sentAt));
    }

    /** Called when the whole answer was received. */
    void streamCompleted(Attempt attempt, long cachedTokens, ServerLoad load) {
        attempt.request.apply(RequestPhase.Transition.STREAM_COMPLETED);
        reservations.reservationsUsed(attempt.request);
        ended(attempt, Outcome.DONE, true, cachedTokens, load);
    }

    /**
     * Ends an attempt and reports its outcome to the routing policy.
     *
     * @param attempt the attempt that ended
     * @param outcome how the attempt ended
     * @param requestOver whether the request is over, so that the policy does nothing more for it
     * @param note detail of the outcome: for a successful attempt, the number of cached tokens; for
     *     a failed decode, 1 if the outcome is FULL because the engine found no prefill state to
     *     fetch, or 2 if the state may have been released before the decode used it
     * @param load the engine's load report, or {@link ServerLoad#NONE}
     */
    void ended(Attempt attempt, Outcome outcome, boolean requestOver, long note, ServerLoad load) {
        RequestState request = attempt.request;
        boolean awaitsEngine = deliveries.ended(attempt, outcome);
        reservations.attemptEnded(attempt, outcome, awaitsEngine);
        if (mayHaveRun(attempt, outcome) && request.mayHaveRunSince == RequestState.NEVER) {
            request.mayHaveRunSince = attempt.sentAt;
        }
        attempt.ended = true;
        request.runningAttempt = null;
        outcomes++;
        decisions.submitEvent(
                new AttemptEnded(
                        attempt.id.requestId(),
                        attempt.id.number(),
                        attempt.engine,
                        outcome,
                        clock.now() - attempt.sentAt,
                        requestOver,
                        note,
                        load));
    }

    /** {@return whether the engine may have begun work that has a side effect} */
    private static boolean mayHaveRun(Attempt attempt, Outcome outcome) {
        return !attempt.prefill
                && attempt.delivery.isWritten()
                && outcome != Outcome.FULL
                && outcome != Outcome.CONNECT_FAILED;
    }

    /** {@return ordered sends minus reported outcomes, which is the number of running attempts} */
    long sendsWithoutOutcome() {
        return sends - outcomes;
    }
}
