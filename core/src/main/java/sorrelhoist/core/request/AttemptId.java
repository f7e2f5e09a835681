package sorrelhoist.core.request;

/**
 * Names an attempt.
 *
 * @param requestId the request's number at the routing policy; a resumed stream has a new one
 * @param number of the send, from 0
 */
public record AttemptId(long requestId, int number) {}
