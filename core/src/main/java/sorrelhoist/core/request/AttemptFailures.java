package sorrelhoist.core.request;

import java.util.function.Consumer;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/** Attempts that end without success, by themselves or because the router cancels them. */
final class AttemptFailures {
    private static final long NO_STATE_TO_FETCH = 1;
    private static final long STATE_RELEASED = 2;

    private final AttemptTracker attempts;
    private final RequestReservations reservations;
    private final StreamRecovery streamRecovery;
    private final Consumer<Command> commands;

    AttemptFailures(
            AttemptTracker attempts,
            RequestReservations reservations,
            StreamRecovery streamRecovery,
            Consumer<Command> commands) {
        this.attempts = attempts;
        this.reservations = reservations;
        this.streamRecovery = streamRecovery;
        this.commands = commands;
    }

    /** Stops waiting for an attempt; its outcome is known here and now. */
    void cancelAttempt(Attempt attempt, Outcome outcome) {
        commands.accept(new Command.CancelAttempt(attempt.id));
        // Nothing can have run where the request was never written: its time was used up by
        // connecting.
        boolean neverConnected = !attempt.delivery.isWritten() && outcome == Outcome.TIMED_OUT;
        failed(attempt, neverConnected ? Outcome.CONNECT_FAILED : outcome, 0, ServerLoad.NONE);
    }

    /**
     * An attempt ended without success.
     *
     * @param attempt which
     * @param outcome how; neither DONE nor READ
     * @param note 1 with FULL where no state was there to fetch
     * @param load the engine's load report, or {@link ServerLoad#NONE}
     */
    void failed(Attempt attempt, Outcome outcome, long note, ServerLoad load) {
        if (attempt.streaming) {
            streamRecovery.streamBroken(attempt, outcome, load);
            return;
        }
        RequestState request = attempt.request;
        boolean stateMissing = outcome == Outcome.FULL && note == NO_STATE_TO_FETCH;
        long outcomeNote = note;
        if (attempt.prefill) {
            request.apply(RequestPhase.Transition.PREFILL_FAILED);
        } else if (stateMissing) {
            reservations.prefillStateNotFetched(request);
            request.apply(RequestPhase.Transition.PREFILL_STATE_LOST);
        } else if (request.prefillState == null) {
            request.apply(RequestPhase.Transition.PREFILL_STATE_LOST);
        } else if (reservations.isPrefillStateReleased(request)) {
            reservations.dropPrefillState(request);
            request.apply(RequestPhase.Transition.PREFILL_STATE_LOST);
            outcomeNote = STATE_RELEASED;
        } else {
            request.apply(RequestPhase.Transition.DECODE_FAILED);
        }
        attempts.ended(attempt, outcome, request.finished, outcomeNote, load);
    }
}
