package sorrelhoist.core.reservation;

/**
 * One call to an engine to release something.
 *
 * @param id names the call
 * @param requestName the request's name at engines
 * @param engine which engine to call
 * @param hold what to release; where any engine releases all of a request's reservations, the
 *     latest of them
 */
public record ReleaseCall(long id, String requestName, String engine, Hold hold) {}
