package sorrelhoist.core.request;

import sorrelhoist.routing.Reason;

/** The final result of a request. Every request has exactly one. */
public sealed interface RequestResult {
    /**
     * {@return the reason that the routing policy gave for the result, or {@link Reason#UNKNOWN}}
     */
    default Reason reason() {
        return Reason.UNKNOWN;
    }

    /**
     * The complete answer was delivered.
     *
     * @param tokens number of tokens or opaque events delivered
     */
    record Served(int tokens) implements RequestResult {}

    /**
     * The request was rejected, and it is safe to retry it.
     *
     * @param retryAfterMicros delay after which to retry, in microseconds; 0 for no recommendation
     * @param reason the resource or limit that was exhausted
     */
    record Refused(long retryAfterMicros, Reason reason) implements RequestResult {}

    /**
     * The request was cancelled because its client stopped reading. Since no error message can
     * reach such a client, its stream is reset.
     *
     * @param message description of the cause; not sent to the client
     */
    record Stalled(String message) implements RequestResult {}

    /**
     * The request was not served completely, and it is unknown whether a retry is safe.
     *
     * @param message text for the client and the log
     * @param deadlineExceeded whether the client's deadline has passed
     * @param reason the reason that the routing policy gave, or {@link Reason#UNKNOWN} if the
     *     policy did not decide the result, as when an answer is interrupted after its first token
     */
    record Failed(String message, boolean deadlineExceeded, Reason reason)
            implements RequestResult {}
}
