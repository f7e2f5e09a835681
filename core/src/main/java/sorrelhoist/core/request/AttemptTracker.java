package sorrelhoist.core.request;

import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.StreamStarted;

/** The account of attempts: each send of the routing policy gets exactly one outcome. */
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

    /** The policy ordered a send. */
    void sendOrdered() {
        sends++;
    }

    /** A send that was ordered does not go out. */
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

    /** An attempt is about to go out. */
    void started(Attempt attempt) {
        attempt.request.runningAttempt = attempt;
        attempt.request.apply(
                attempt.prefill
                        ? RequestPhase.Transition.PREFILL_SENT
                        : RequestPhase.Transition.DECODE_SENT);
    }

    /** The attempt waits for a connection, so nothing of it is written yet. */
    void connecting(Attempt attempt) {
        attempt.delivery.connecting();
        reservations.connecting(attempt.request);
    }

    /** The attempt's last byte was written. */
    void written(Attempt attempt) {
        deliveries.written(attempt);
        reservations.written(attempt.request);
    }

    /** A prefill ended well, and its state waits at the engine. */
    void prefillCompleted(Attempt attempt, String stateId, long cachedTokens, ServerLoad load) {
        RequestState request = attempt.request;
        reservations.prefillCompleted(attempt, stateId);
        request.apply(RequestPhase.Transition.PREFILL_COMPLETED);
        ended(attempt, Outcome.READ, request.finished, cachedTokens, load);
    }

    /** The first token came. */
    void streamStarted(Attempt attempt) {
        RequestState request = attempt.request;
        attempt.streaming = true;
        deliveries.answered(attempt);
        request.apply(RequestPhase.Transition.FIRST_TOKEN);
        reservations.taken(request);
        decisions.submitEvent(
                new StreamStarted(
                        request.routingId,
                        attempt.id.number(),
                        attempt.engine,
                        clock.now() - attempt.sentAt));
    }

    /** The whole answer came. */
    void streamCompleted(Attempt attempt, long cachedTokens, ServerLoad load) {
        attempt.request.apply(RequestPhase.Transition.STREAM_COMPLETED);
        reservations.taken(attempt.request);
        ended(attempt, Outcome.DONE, true, cachedTokens, load);
    }

    /**
     * An attempt has its outcome.
     *
     * @param attempt which
     * @param outcome how it ended
     * @param requestOver whether the policy need not do anything more for the request
     * @param note what the outcome adds: cached tokens, or 1 with FULL where no state was there
     * @param load the engine's load report, or {@link ServerLoad#NONE}
     */
    void ended(Attempt attempt, Outcome outcome, boolean requestOver, long note, ServerLoad load) {
        RequestState request = attempt.request;
        boolean awaitsEngine = deliveries.ended(attempt, outcome);
        reservations.attemptEnded(attempt, outcome, awaitsEngine);
        if (mayHaveRun(attempt, outcome) && request.mayHaveRunFrom == RequestState.NEVER) {
            request.mayHaveRunFrom = attempt.sentAt;
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

    /** {@return whether the engine may have begun work that has an effect} */
    private static boolean mayHaveRun(Attempt attempt, Outcome outcome) {
        return !attempt.prefill
                && attempt.delivery.isWritten()
                && outcome != Outcome.FULL
                && outcome != Outcome.CONNECT_FAILED;
    }

    /** {@return sends ordered less outcomes reported: the number of running attempts} */
    long sendsWithoutOutcome() {
        return sends - outcomes;
    }
}
