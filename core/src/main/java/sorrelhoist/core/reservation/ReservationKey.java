package sorrelhoist.core.reservation;

/**
 * Names what is released together: all reservations of a request, or that of one of its attempts.
 *
 * @param requestName the request's name at engines
 * @param attempt the number of the attempt; {@link #ALL} for whatever the request has reserved
 */
public record ReservationKey(String requestName, int attempt) {
    /** In place of an attempt's number: all attempts of the request. */
    public static final int ALL = -1;

    /** {@return the key of all that a request has reserved} */
    public static ReservationKey ofRequest(String request) {
        return new ReservationKey(request, ALL);
    }
}
