package sorrelhoist.core.guard;

/** What must hold whenever bytes leave for an engine, or a client's connection is ended. */
public enum Invariant {
    /** An attempt is written only for a client that is still there and has no answer yet. */
    SEND_FOR_OPEN_REQUEST,
    /** An attempt is written only while its client's time runs. */
    SEND_WITHIN_DEADLINE,
    /** An attempt is written only to an engine that is listed and takes new work. */
    SEND_TO_SERVING_ENGINE,
    /** What may have had an effect is repeated only where and while that is harmless. */
    REPEAT_WITHOUT_SECOND_EFFECT,
    /** An engine that has just started gets no more than its multiple of what like engines get. */
    SLOW_START_BUDGET,
    /** A client's connection is ended only when its request is answered, or its client has left. */
    CLOSE_AFTER_ANSWER
}
