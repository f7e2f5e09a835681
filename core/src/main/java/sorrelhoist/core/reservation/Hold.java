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
        /**
         * The attempt was lost or cancelled; it may have ended well, or may do so within the
         * settling time.
         */
        POSSIBLE
    }

    /** {@return a prefill state that its engine has announced} */
    public static Hold ofPrefillState(String engine, String state) {
        return new Hold(engine, state, "", 0, Certainty.CONFIRMED);
    }

    /** {@return what a lost prefill may leave} */
    public static Hold ofLostPrefill(String engine, int attempt) {
        return new Hold(engine, "", "", attempt, Certainty.POSSIBLE);
    }

    /** {@return a decode slot that was reserved ahead of its use} */
    public static Hold ofDecodeSlot(String engine, String slot, Certainty certainty) {
        return new Hold(engine, "", slot, 0, certainty);
    }
}
