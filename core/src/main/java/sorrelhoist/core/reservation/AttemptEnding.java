package sorrelhoist.core.reservation;

/** How an attempt ended, as far as it concerns what is reserved for its request. */
public enum AttemptEnding {
    /**
     * Its last byte was never written, or its connection never stood: its engine has not seen it.
     */
    NOT_SENT,
    /** Its engine answered it: nothing waits there any more. */
    ANSWERED,
    /** Its connection broke: its engine may have it, and may not know yet that it is over. */
    LOST,
    /** The router gave it up: its engine may have it until the close has arrived there. */
    GIVEN_UP
}
