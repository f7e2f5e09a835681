package sorrelhoist.core.request;

/**
 * Names an attempt.
 *
 * @param requestId the request's number at Decide; a stream that goes on elsewhere has a new one
 * @param number of the send, from 0
 */
public record AttemptId(long requestId, int number) {}
