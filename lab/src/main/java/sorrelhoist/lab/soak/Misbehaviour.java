package sorrelhoist.lab.soak;

/** What a worker does wrong to a part of its answers. */
enum Misbehaviour {
    NONE,
    /** Takes a request, or a release, and breaks the connection in place of an answer. */
    RESET_AFTER_REQUEST,
    NOISE,
    SECOND_ANSWER,
    SILENT_IN_STREAM,
    RESET_IN_STREAM,
    /** Has few slots and a short queue, for all that comes: turns away what does not fit. */
    FULL,
    BYTE_BY_BYTE,
    /** Answers by an error, though it may have run. */
    ERROR,
    /** Cannot reach the reader of a state: answers that it is gone, though it is held there. */
    STATE_UNREACHABLE
}
