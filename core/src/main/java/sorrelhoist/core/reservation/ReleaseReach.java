package sorrelhoist.core.reservation;

/** Which engines can release what a request has reserved. */
public enum ReleaseReach {
    /**
     * Only the engine that holds the resource. The release names the resource, so nothing else is
     * released with it.
     */
    HOLDER,
    /**
     * Any engine of the pool. One call releases everything that the request has reserved at any
     * engine.
     */
    ANY_ENGINE
}
