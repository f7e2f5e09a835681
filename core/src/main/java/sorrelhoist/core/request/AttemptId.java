package sorrelhoist.core.request;

/**
 * Identifies an attempt.
 *
 * @param requestId the request's ID at the routing policy; a resumed stream gets a new one
 * @param number number of the send under this request ID, starting at 0
 */
public record AttemptId(long requestId, int number) {}
