package sorrelhoist.core.reservation;

/** The reason for a release. */
public enum ReleaseCause {
    /** No attempt will consume the holds: the ordinary end of a request. */
    UNWANTED,
    /** No attempt consumed the holds in time, though an attempt of the request may be in flight. */
    WAITED_TOO_LONG,
    /** An abandoned attempt may have arrived late. */
    LATE_ARRIVAL
}
