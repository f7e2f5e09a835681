package sorrelhoist.core.reservation;

/**
 * What one attempt may have reserved at an engine, or may keep from being released.
 *
 * @param engine where
 * @param kind what it is
 * @param prefillState the state's name; empty where it is not known
 * @param decodeSlot the decode slot's name; empty where there is none
 * @param upToAttempt where neither is named: the last attempt whose state is meant
 * @param certainty whether the engine said so
 */
public record Hold(
        String engine,
        Kind kind,
        String prefillState,
        String decodeSlot,
        int upToAttempt,
        Certainty certainty) {
    /** What is held. */
    public enum Kind {
        /** A prefill's state, at the engine that read the prompt. */
        PREFILL_STATE,
        /** A decode slot. */
        DECODE_SLOT,
        /**
         * A place in an engine's queue: a decode that is over for the router may stand there until
         * its engine knows it, and what it waits for is not released meanwhile.
         */
        QUEUED_DECODE
    }

    /** What is known of a hold. */
    public enum Certainty {
        /** The engine answered that it holds it. */
        CONFIRMED,
        /** The attempt was lost; it may have ended well, or may do so within the settling time. */
        POSSIBLE,
        /**
         * The attempt was given up while its engine had it, or its connection broke. Where the
         * engine is stopped meanwhile, it may end well after that.
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
        return new Hold(engine, Kind.PREFILL_STATE, state, "", 0, Certainty.CONFIRMED);
    }

    /** {@return what a lost prefill may leave} */
    public static Hold ofLostPrefill(String engine, int attempt) {
        return new Hold(engine, Kind.PREFILL_STATE, "", "", attempt, Certainty.POSSIBLE);
    }

    /** {@return what a prefill may leave that was given up while its engine had it} */
    public static Hold ofGivenUpPrefill(String engine, int attempt) {
        return new Hold(engine, Kind.PREFILL_STATE, "", "", attempt, Certainty.GIVEN_UP);
    }

    /**
     * {@return what a prefill may leave that was cancelled before anything showed that it arrived}
     */
    public static Hold ofUndeliveredPrefill(String engine, int attempt) {
        return new Hold(engine, Kind.PREFILL_STATE, "", "", attempt, Certainty.UNDELIVERED);
    }

    /** {@return the place of a decode that has ended without an answer in its engine's queue} */
    public static Hold ofQueuedDecode(String engine, int attempt, Certainty certainty) {
        return new Hold(engine, Kind.QUEUED_DECODE, "", "", attempt, certainty);
    }

    /** {@return a decode slot that was reserved ahead of its use} */
    public static Hold ofDecodeSlot(String engine, String slot, Certainty certainty) {
        return new Hold(engine, Kind.DECODE_SLOT, "", slot, 0, certainty);
    }

    /** {@return whether it is a prefill's state, or may become one} */
    public boolean isState() {
        return kind == Kind.PREFILL_STATE;
    }
}
