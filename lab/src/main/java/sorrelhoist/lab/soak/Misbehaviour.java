package sorrelhoist.lab.soak;

/** What a worker does wrong to a part of its answers. */
enum Misbehaviour {
    NONE,
    RESET_AFTER_REQUEST,
    NOISE,
    SECOND_ANSWER,
    SILENT_IN_STREAM,
    RESET_IN_STREAM,
    FULL,
    BYTE_BY_BYTE
}
