package sorrelhoist.core.reservation;

/** How an attempt ended, in terms of the reservations of its request. */
public enum AttemptEnding {
    /**
     * Its last byte was never written, or its connection was never established: the engine has not
     * received it.
     */
    NOT_SENT,
    /** Its engine answered it, so it is not queued there any more. */
    ANSWERED,
    /**
     * Its connection broke: the engine may have received it, and may not know yet that it has
     * ended.
     */
    LOST,
    /**
     * The router abandoned it: the engine may keep it until the close of the connection or stream
     * arrives.
     */
    GIVEN_UP
}
