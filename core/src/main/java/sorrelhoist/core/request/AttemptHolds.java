package sorrelhoist.core.request;

import sorrelhoist.core.reservation.AttemptEnding;
import sorrelhoist.core.reservation.Hold;
import sorrelhoist.core.reservation.Hold.Certainty;
import sorrelhoist.routing.RoutingEvents.Outcome;

/** What attempts that have ended may leave at their engines. */
final class AttemptHolds {
    private AttemptHolds() {}

    /** {@return how an attempt ended, as far as it concerns what is reserved} */
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
     * {@return what an attempt may have left, or null for nothing}
     *
     * @param attempt which
     * @param outcome how it ended
     * @param awaitsEngine whether its engine has to be heard before its end is known there
     */
    static Hold leftBy(Attempt attempt, Outcome outcome, boolean awaitsEngine) {
        AttemptEnding ending = endingOf(attempt, outcome);
        if (ending == AttemptEnding.NOT_SENT) {
            return null;
        }
        return attempt.prefill
                ? leftByPrefill(attempt, outcome, awaitsEngine)
                : leftByDecode(attempt, ending, awaitsEngine);
    }

    /** A prefill may have ended well in the moment in which it was lost or cancelled. */
    private static Hold leftByPrefill(Attempt attempt, Outcome outcome, boolean awaitsEngine) {
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

    /** A decode that was not answered may stand in its engine's queue, though it is over. */
    private static Hold leftByDecode(Attempt attempt, AttemptEnding ending, boolean awaitsEngine) {
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
