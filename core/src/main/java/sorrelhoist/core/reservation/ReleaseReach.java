package sorrelhoist.core.reservation;

/** Which engines can release what a request has reserved. */
public enum ReleaseReach {
    /**
     * The engine that holds it alone. What is released is named, so nothing else is released with
     * it.
     */
    HOLDER,
    /** Any engine of the pool, and with one call all that the request has reserved anywhere. */
    ANY_ENGINE
}
