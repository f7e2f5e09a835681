package sorrelhoist.core.life;

import sorrelhoist.Reason;

/** A client's one final answer. */
public sealed interface Answer {
    /** {@return what Decide gave for it, or {@link Reason#UNKNOWN}} */
    default Reason reason() {
        return Reason.UNKNOWN;
    }

    /**
     * All tokens were given.
     *
     * @param tokens how many
     */
    record Served(int tokens) implements Answer {}

    /**
     * Not served, and a repeat is harmless.
     *
     * @param backoffMicros when to come back; 0 for no advice
     * @param why what was short
     */
    record Refused(long backoffMicros, Reason why) implements Answer {
        @Override
        public Reason reason() {
            return why;
        }
    }

    /**
     * Given up because the client takes nothing: nothing more can be told to it, so its stream is
     * reset.
     *
     * @param why for the log
     */
    record Stalled(String why) implements Answer {}

    /**
     * Not served whole, and nothing is known of a repeat.
     *
     * @param why for the client and the log
     * @param late whether the client's time is up
     * @param reason what Decide gave, or {@link Reason#UNKNOWN} where an answer broke off after its
     *     first token
     */
    record Failed(String why, boolean late, Reason reason) implements Answer {}
}
