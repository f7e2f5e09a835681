package sorrelhoist.core.request;

import sorrelhoist.core.reservation.Hold;
import sorrelhoist.routing.RoutingEvents.PlaceAnswered;

/**
 * Handles the engines' answers to decode slot reservations, which are made while a prefill runs.
 */
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
     * Called when an engine accepted or rejected the reservation of a slot.
     *
     * @return whether the request still needs the slot
     */
    boolean reservationAnswered(long requestId, String engine, boolean reserved, String slot) {
        RequestState request = awaitingSlot(requestId);
        if (request == null) {
            if (reserved) {
                reservations.releaseUnusableDecodeSlot(engine, slot);
            }
            return false;
        }
        if (reserved) {
            reservations.recordDecodeSlot(request, engine, slot, Hold.Certainty.CONFIRMED);
        }
        decisions.submitEvent(new PlaceAnswered(requestId, engine, reserved));
        return true;
    }

    /**
     * Called when it is unknown whether a slot was reserved. The slot is treated as possibly
     * reserved.
     */
    void reservationUnknown(long requestId, String engine, String slot) {
        RequestState request = awaitingSlot(requestId);
        if (request == null) {
            reservations.releaseUnusableDecodeSlot(engine, slot);
        } else {
            reservations.recordDecodeSlot(request, engine, slot, Hold.Certainty.POSSIBLE);
        }
    }

    /**
     * {@return the request if its prefill is running, otherwise null} A request can make use of a
     * new slot only while its prefill is running.
     */
    private RequestState awaitingSlot(long requestId) {
        RequestState request = requests.byRoutingId(requestId);
        if (request == null || request.finished || request.runningAttempt == null) {
            return null;
        }
        return request.runningAttempt.prefill ? request : null;
    }
}
