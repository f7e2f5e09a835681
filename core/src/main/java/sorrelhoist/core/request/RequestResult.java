package sorrelhoist.core.request;

import sorrelhoist.routing.Reason;

/** A request's one final result. */
public sealed interface RequestResult {
    /** {@return what the routing policy gave for it, or {@link Reason#UNKNOWN}} */
    default Reason reason() {
        return Reason.UNKNOWN;
    }

    /**
     * All tokens were given.
     *
     * @param tokens how many
     */
    record Served(int tokens) implements RequestResult {}

    /**
     * Rejected; a retry is harmless.
     *
     * @param retryAfterMicros when to come back, in microseconds; 0 for no advice
     * @param reason what was short
     */
    record Refused(long retryAfterMicros, Reason reason) implements RequestResult {}

    /**
     * Given up because the client takes nothing: nothing more can be told to it, so its stream is
     * reset.
     *
     * @param message for the log
     */
    record Stalled(String message) implements RequestResult {}

    /**
     * Not served to its end, and it is not known whether a retry is harmless.
     *
     * @param message for the client and the log
     * @param deadlineExceeded whether the client's time is up
     * @param reason what the routing policy gave, or {@link Reason#UNKNOWN} where an answer broke
     *     off after its first token
     */
    record Failed(String message, boolean deadlineExceeded, Reason reason)
            implements RequestResult {}
}
