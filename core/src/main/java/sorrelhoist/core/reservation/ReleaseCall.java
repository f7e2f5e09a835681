package sorrelhoist.core.reservation;

/**
 * One call to an engine to release a resource.
 *
 * @param id identifies the call
 * @param requestName the name under which engines know the request
 * @param engine the engine to call
 * @param hold the resource to release; if any engine can release all reservations of a request, the
 *     latest of them
 */
public record ReleaseCall(long id, String requestName, String engine, Hold hold) {}
