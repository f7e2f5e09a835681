package sorrelhoist.core.guard;

/**
 * The invariants that are checked whenever an attempt is written to an engine or a client's
 * connection is closed.
 */
public enum Invariant {
    /** An attempt is written only for a client that is still connected and has no answer yet. */
    SEND_FOR_OPEN_REQUEST,
    /** An attempt is written only before the client's deadline. */
    SEND_WITHIN_DEADLINE,
    /** An attempt is written only to an engine that is listed and accepts new requests. */
    SEND_TO_SERVING_ENGINE,
    /**
     * An attempt that may have had an effect is repeated only if, and as long as, the repetition is
     * harmless.
     */
    REPEAT_WITHOUT_SECOND_EFFECT,
    /**
     * An engine in slow start gets at most its configured multiple of the sends that other engines
     * of its kind get.
     */
    SLOW_START_BUDGET,
    /**
     * The connection of a client is closed only when its request is answered or the client has
     * disconnected.
     */
    CLOSE_AFTER_ANSWER
}
