package sorrelhoist.core.request;

import java.util.function.Consumer;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * Handles attempts that end without success, either by themselves or because the router cancels
 * them.
 */
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

    /** Cancels an attempt and ends it with the given outcome at once. */
    void cancelAttempt(Attempt attempt, Outcome outcome) {
        commands.accept(new Command.CancelAttempt(attempt.id));
        // The engine cannot have run a request that was never written: the timeout elapsed while
        // connecting.
        boolean neverConnected = !attempt.delivery.isWritten() && outcome == Outcome.TIMED_OUT;
        failed(attempt, neverConnected ? Outcome.CONNECT_FAILED : outcome, 0, ServerLoad.NONE);
    }

    /**
     * Ends an attempt that did not succeed.
     *
     * @param attempt the attempt that ended
     * @param outcome how the attempt ended; neither DONE nor READ
     * @param note 1 with outcome FULL if the decode engine found no prefill state to fetch;
     *     otherwise 0
     * @param load the engine's load report, or {@link ServerLoad#NONE}
     */
    void failed(Attempt attempt, Outcome outcome, long note, ServerLoad load) {
        if (attempt.streaming) {
            streamRecovery.streamBroken(attempt, outcome, load);
            return;
        }
        RequestState request = attempt.request;
        boolean stateNotFound = outcome == Outcome.FULL && note == NO_STATE_TO_FETCH;
        long outcomeNote = note;
        if (attempt.prefill) {
            request.apply(RequestPhase.Transition.PREFILL_FAILED);
        } else if (stateNotFound) {
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
