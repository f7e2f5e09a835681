package sorrelhoist.lab.soak;

/** What the oracle holds a fleet to. */
public enum Invariant {
    /** Every request that a running router took gets one final answer before its time is up. */
    ANSWERED,
    /** Nothing is sent for a request after its final answer. */
    NOTHING_AFTER_ANSWER,
    /** Nothing is sent for a client that has left. */
    NOTHING_AFTER_CLIENT_LEFT,
    /** What may not be repeated runs once, and is refused only where it never ran. */
    ONE_EFFECT,
    /** At most one attempt of a request is out. */
    ONE_ATTEMPT_AT_A_TIME,
    /** Nothing new goes to a worker that drains or is gone. */
    DRAIN,
    /** The fleet keeps to a starting worker's budget. */
    SLOW_START,
    /** What is held for a request is taken or released in time. */
    RELEASED,
    /** The budget that a worker is given is at most the time that is left to the client. */
    DEADLINE_TOLD,
    /** Events are passed on as they come. */
    EVENTS_IN_TIME,
    /**
     * A stream that is ended as complete is complete, and one that its worker finished reaches its
     * end.
     */
    WHOLE_STREAMS,
    /** A router is ready in time after its start. */
    READY,
    /** A router runs until SIGTERM, and then ends by itself with status 0. */
    ALIVE,
    /** What cannot be served gets an error or a close in time. */
    BAD_CLIENTS,
    /** Only ids that clients sent reach workers. */
    KNOWN_IDS
}
