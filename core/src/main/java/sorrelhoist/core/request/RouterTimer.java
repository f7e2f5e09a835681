package sorrelhoist.core.request;

/** The purpose of a scheduled timer of the router. */
sealed interface RouterTimer {
    /** Fires a timer that the routing policy requested. */
    record PolicyTimer(long token) implements RouterTimer {}

    /** Cancels the attempt if it has not begun to answer. */
    record AttemptTimeout(Attempt attempt) implements RouterTimer {}

    /** Checks whether the stream has been silent for too long. */
    record StreamSilence(Attempt attempt) implements RouterTimer {}

    /** Ends the stream at the client's deadline for the whole answer. */
    record ClientDeadline(RequestState request) implements RouterTimer {}

    /** Checks that a request that has not begun to stream has its final result. */
    record ResultOverdue(long clientId) implements RouterTimer {}

    /** Checks whether the client has not read any of its answer for too long. */
    record ClientStall(RequestState request) implements RouterTimer {}
}
