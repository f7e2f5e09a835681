package sorrelhoist.core.request;

import sorrelhoist.core.reservation.Hold;
import sorrelhoist.routing.RoutingEvents.PlaceAnswered;

/** Engines' answers to reservations of decode slots, made while a prefill runs. */
final class DecodeSlots {
    private final RequestTable requests;
    private final RequestReservations reservations;
    private final DecisionLoop decisions;

    DecodeSlots(RequestTable requests, RequestReservations reservations, DecisionLoop decisions) {
        this.requests = requests;
        this.reservations = reservations;
        this.decisions = decisions;
    }

    /**
     * A slot was reserved, or not.
     *
     * @return whether its request still waits for it
     */
    boolean answered(long requestId, String engine, boolean reserved, String slot) {
        RequestState request = awaitingSlot(requestId);
        if (request == null) {
            if (reserved) {
                reservations.unwantedDecodeSlot(engine, slot);
            }
            return false;
        }
        if (reserved) {
            reservations.decodeSlot(request, engine, slot, Hold.Certainty.CONFIRMED);
        }
        decisions.submitEvent(new PlaceAnswered(requestId, engine, reserved));
        return true;
    }

    /** It is not known whether a slot was reserved; it may be. */
    void unknown(long requestId, String engine, String slot) {
        RequestState request = awaitingSlot(requestId);
        if (request == null) {
            reservations.unwantedDecodeSlot(engine, slot);
        } else {
            reservations.decodeSlot(request, engine, slot, Hold.Certainty.POSSIBLE);
        }
    }

    /** {@return the request if its prefill runs, for so long a slot is of use to it; else null} */
    private RequestState awaitingSlot(long requestId) {
        RequestState request = requests.byRoutingId(requestId);
        if (request == null || request.finished || request.runningAttempt == null) {
            return null;
        }
        return request.runningAttempt.prefill ? request : null;
    }
}
