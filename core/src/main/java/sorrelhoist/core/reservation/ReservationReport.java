package sorrelhoist.core.reservation;

/**
 * A log entry about a reservation that was not consumed in the ordinary way.
 *
 * @param requestName the name under which engines know the request
 * @param state the state of the reservation
 * @param heldMicros the time since the last outcome of its request, in microseconds
 * @param releasesMade the number of release calls sent for it
 * @param history its events, with the milliseconds since it was opened
 */
public record ReservationReport(
        String requestName, State state, long heldMicros, int releasesMade, String history) {
    /** The reported state of a reservation. */
    public enum State {
        /** It is known to be gone, although no stream consumed it. */
        RELEASED,
        /** It exceeded the limit and is not known to be gone. */
        OVERDUE
    }
}
