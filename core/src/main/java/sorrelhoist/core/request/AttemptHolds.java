package sorrelhoist.core.request;

import sorrelhoist.core.reservation.AttemptEnding;
import sorrelhoist.core.reservation.Hold;
import sorrelhoist.core.reservation.Hold.Certainty;
import sorrelhoist.routing.RoutingEvents.Outcome;

/** Determines what attempts that have ended may still hold at their engines. */
final class AttemptHolds {
    private AttemptHolds() {}

    /** {@return how an attempt ended, as far as it affects reservations} */
    static AttemptEnding endingOf(Attempt attempt, Outcome outcome) {
        if (!attempt.delivery.isWritten()) {
            return AttemptEnding.NOT_SENT;
        }
        return switch (outcome) {
            case CONNECT_FAILED -> AttemptEnding.NOT_SENT;
            case DONE, READ, ERROR, FULL -> AttemptEnding.ANSWERED;
            case TIMED_OUT, CANCELLED -> AttemptEnding.GIVEN_UP;
            default -> AttemptEnding.LOST;
        };
    }

    /**
     * {@return what an attempt may still hold at its engine, or null if nothing}
     *
     * @param attempt the attempt that ended
     * @param outcome how the attempt ended
     * @param awaitsEngine whether the router has to wait for a response from the engine to know
     *     that the end of the attempt has reached the engine
     */
    static Hold remainingHold(Attempt attempt, Outcome outcome, boolean awaitsEngine) {
        AttemptEnding ending = endingOf(attempt, outcome);
        if (ending == AttemptEnding.NOT_SENT) {
            return null;
        }
        return attempt.prefill
                ? remainingPrefillHold(attempt, outcome, awaitsEngine)
                : remainingDecodeHold(attempt, ending, awaitsEngine);
    }

    /** A prefill may have completed at the same moment at which it was lost or cancelled. */
    private static Hold remainingPrefillHold(
            Attempt attempt, Outcome outcome, boolean awaitsEngine) {
        if (outcome == Outcome.READ || outcome == Outcome.FULL) {
            return null;
        }
        int number = attempt.id.number();
        if (!awaitsEngine) {
            return Hold.ofLostPrefill(attempt.engine, number);
        }
        return attempt.delivery.isDelivered()
                ? Hold.ofGivenUpPrefill(attempt.engine, number)
                : Hold.ofUndeliveredPrefill(attempt.engine, number);
    }

    /**
     * A decode that was not answered may remain in its engine's queue after it has ended at the
     * router.
     */
    private static Hold remainingDecodeHold(
            Attempt attempt, AttemptEnding ending, boolean awaitsEngine) {
        if (ending == AttemptEnding.ANSWERED || attempt.streaming) {
            return null;
        }
        Certainty certainty = Certainty.POSSIBLE;
        if (awaitsEngine) {
            certainty = attempt.delivery.isDelivered() ? Certainty.GIVEN_UP : Certainty.UNDELIVERED;
        }
        return Hold.ofQueuedDecode(attempt.engine, attempt.id.number(), certainty);
    }
}
