package sorrelhoist.core.reservation;

/** Why a release is sent. */
public enum ReleaseCause {
    /** Nothing will take what is held: the ordinary end of a request. */
    UNWANTED,
    /** Nothing has taken it in time, though an attempt of its request may be out. */
    WAITED_TOO_LONG,
    /** A prefill that was given up may have arrived late. */
    LATE_ARRIVAL
}
