package sorrelhoist.core.request;

import sorrelhoist.routing.Reason;

/** A client's one final answer. */
public sealed interface RequestResult {
    /** {@return what Decide gave for it, or {@link Reason#UNKNOWN}} */
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
     * Not served, and a repeat is harmless.
     *
     * @param retryAfterMicros when to come back; 0 for no advice
     * @param why what was short
     */
    record Refused(long retryAfterMicros, Reason why) implements RequestResult {
        @Override
        public Reason reason() {
            return why;
        }
    }

    /**
     * Given up because the client takes nothing: nothing more can be told to it, so its stream is
     * reset.
     *
     * @param message for the log
     */
    record Stalled(String message) implements RequestResult {}

    /**
     * Not served whole, and nothing is known of a repeat.
     *
     * @param message for the client and the log
     * @param deadlineExceeded whether the client's time is up
     * @param reason what Decide gave, or {@link Reason#UNKNOWN} where an answer broke off after its
     *     first token
     */
    record Failed(String message, boolean deadlineExceeded, Reason reason)
            implements RequestResult {}
}
