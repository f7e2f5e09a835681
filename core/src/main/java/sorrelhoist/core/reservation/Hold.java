package sorrelhoist.core.reservation;

/**
 * What one attempt may have reserved at an engine.
 *
 * @param engine where
 * @param prefillState the state's name; empty where it is not known
 * @param decodeSlot the decode slot's name; empty where there is none
 * @param upToAttempt where neither is named: the last attempt whose state is meant
 * @param certainty whether the engine said so
 */
public record Hold(
        String engine,
        String prefillState,
        String decodeSlot,
        int upToAttempt,
        Certainty certainty) {
    /** What is known of a hold. */
    public enum Certainty {
        /** The engine answered that it holds it. */
        CONFIRMED,
        /** The attempt was lost; it may have ended well, or may do so within the settling time. */
        POSSIBLE,
        /**
         * The attempt was given up while its engine had it. Where the engine is stopped meanwhile,
         * it may end well after that.
         */
        GIVEN_UP,
        /**
         * The attempt was given up, and nothing shows that it has reached its engine: it may do so
         * when the engine, or the way to it, comes back, and may wait there.
         */
        UNDELIVERED
    }

    /** {@return a prefill state that its engine has announced} */
    public static Hold ofPrefillState(String engine, String state) {
        return new Hold(engine, state, "", 0, Certainty.CONFIRMED);
    }

    /** {@return what a lost prefill may leave} */
    public static Hold ofLostPrefill(String engine, int attempt) {
        return new Hold(engine, "", "", attempt, Certainty.POSSIBLE);
    }

    /** {@return what a prefill may leave that was given up while its engine had it} */
    public static Hold ofGivenUpPrefill(String engine, int attempt) {
        return new Hold(engine, "", "", attempt, Certainty.GIVEN_UP);
    }

    /**
     * {@return what a prefill may leave that was cancelled before anything showed that it arrived}
     */
    public static Hold ofUndeliveredPrefill(String engine, int attempt) {
        return new Hold(engine, "", "", attempt, Certainty.UNDELIVERED);
    }

    /** {@return a decode slot that was reserved ahead of its use} */
    public static Hold ofDecodeSlot(String engine, String slot, Certainty certainty) {
        return new Hold(engine, "", slot, 0, certainty);
    }
}
