package sorrelhoist.core.reservation;

/**
 * Identifies a group of holds that are released together: those of a request, or of one of its
 * attempts.
 *
 * @param requestName the name under which engines know the request
 * @param attempt the number of the attempt; {@link #ALL} for all attempts of the request
 */
public record ReservationKey(String requestName, int attempt) {
    /** Stands for all attempts of the request. */
    public static final int ALL = -1;

    /** {@return the key for everything that a request has reserved} */
    public static ReservationKey ofRequest(String request) {
        return new ReservationKey(request, ALL);
    }
}
