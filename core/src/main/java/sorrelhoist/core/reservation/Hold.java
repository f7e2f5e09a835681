package sorrelhoist.core.reservation;

/**
 * A resource that one attempt may have reserved at an engine, or a queued attempt that may prevent
 * a release.
 *
 * @param engine the engine's id
 * @param kind the kind of resource
 * @param prefillState the name of the prefill state; empty if not known
 * @param decodeSlot the name of the decode slot; empty if there is none
 * @param upToAttempt if neither name is given: a release of this hold covers the states of the
 *     attempts up to this number
 * @param certainty how certain it is that the resource is reserved
 */
public record Hold(
        String engine,
        Kind kind,
        String prefillState,
        String decodeSlot,
        int upToAttempt,
        Certainty certainty) {
    /** The kind of a held resource. */
    public enum Kind {
        /** A prefill state, at the engine that read the prompt. */
        PREFILL_STATE,
        /** A decode slot. */
        DECODE_SLOT,
        /**
         * A decode that may still be in an engine's queue although it has ended for the router.
         * Until its engine learns of the end, the resources that the decode waits for are not
         * released.
         */
        QUEUED_DECODE
    }

    /** How certain it is that a hold exists. */
    public enum Certainty {
        /** The engine confirmed the reservation. */
        CONFIRMED,
        /**
         * The attempt was lost. It may have succeeded, or may succeed within the settling time,
         * {@link ReleasePolicy#settleMicros()}.
         */
        POSSIBLE,
        /**
         * The router abandoned the attempt after it was delivered, or its connection broke. If the
         * engine is suspended meanwhile, the attempt may still succeed after the engine resumes.
         */
        GIVEN_UP,
        /**
         * The router abandoned the attempt before its delivery was confirmed. The attempt may
         * arrive when the engine or the network path recovers, and may be queued at the engine.
         */
        UNDELIVERED
    }

    /** {@return a hold for a prefill state that its engine has announced} */
    public static Hold ofPrefillState(String engine, String state) {
        return new Hold(engine, Kind.PREFILL_STATE, state, "", 0, Certainty.CONFIRMED);
    }

    /** {@return a hold for the state that a lost prefill may leave} */
    public static Hold ofLostPrefill(String engine, int attempt) {
        return new Hold(engine, Kind.PREFILL_STATE, "", "", attempt, Certainty.POSSIBLE);
    }

    /**
     * {@return a hold for the state that may be left by a prefill that was abandoned after its
     * delivery}
     */
    public static Hold ofGivenUpPrefill(String engine, int attempt) {
        return new Hold(engine, Kind.PREFILL_STATE, "", "", attempt, Certainty.GIVEN_UP);
    }

    /**
     * {@return a hold for the state that may be left by a prefill that was cancelled before its
     * delivery was confirmed}
     */
    public static Hold ofUndeliveredPrefill(String engine, int attempt) {
        return new Hold(engine, Kind.PREFILL_STATE, "", "", attempt, Certainty.UNDELIVERED);
    }

    /** {@return a hold for the queue entry of a decode that ended without an answer} */
    public static Hold ofQueuedDecode(String engine, int attempt, Certainty certainty) {
        return new Hold(engine, Kind.QUEUED_DECODE, "", "", attempt, certainty);
    }

    /** {@return a hold for a decode slot that was reserved ahead of its use} */
    public static Hold ofDecodeSlot(String engine, String slot, Certainty certainty) {
        return new Hold(engine, Kind.DECODE_SLOT, "", slot, 0, certainty);
    }

    /** {@return whether the resource is a prefill state, or may become one} */
    public boolean isPrefillState() {
        return kind == Kind.PREFILL_STATE;
    }
}
