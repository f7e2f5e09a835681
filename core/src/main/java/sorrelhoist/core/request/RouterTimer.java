package sorrelhoist.core.request;

/** What a timer of the router was scheduled for. */
sealed interface RouterTimer {
    /** The routing policy's own timer. */
    record PolicyTimer(long token) implements RouterTimer {}

    /** The attempt has to have begun to answer. */
    record AttemptTimeout(Attempt attempt) implements RouterTimer {}

    /** The stream may have been silent for too long. */
    record StreamSilence(Attempt attempt) implements RouterTimer {}

    /** The client's time for the whole answer is up. */
    record ClientDeadline(RequestState request) implements RouterTimer {}

    /** By now the policy has answered every request that has not begun to stream. */
    record ResultOverdue(long clientId) implements RouterTimer {}

    /** A client may have taken nothing since then. */
    record ClientStall(RequestState request, long blockedSince) implements RouterTimer {}
}
