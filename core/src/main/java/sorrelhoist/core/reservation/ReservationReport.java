package sorrelhoist.core.reservation;

/**
 * What a log has to say of a reservation that was not taken in the ordinary way.
 *
 * @param requestName the request's name at engines
 * @param state what became of it
 * @param heldMicros since when it has waited: since the last outcome of its request
 * @param releasesMade how many releases were sent for it
 * @param history what happened to it, with milliseconds since it was opened
 */
public record ReservationReport(
        String requestName, State state, long heldMicros, int releasesMade, String history) {
    /** What became of a reservation. */
    public enum State {
        /** It is known to be gone, though no stream has taken it. */
        RELEASED,
        /** It has waited for longer than the limit, and is not known to be gone. */
        OVERDUE
    }
}
