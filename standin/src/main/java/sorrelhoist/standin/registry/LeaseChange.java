package sorrelhoist.standin.registry;

/**
 * A change of a lease, as deltas publish it.
 *
 * @param atMicros when, microseconds since 1970
 * @param action what happened
 * @param lease the lease after the change, or before it for a deletion
 */
record LeaseChange(long atMicros, Action action, Lease lease) {
    /** Eureka's action types: the names are on the wire. */
    enum Action {
        ADDED,
        MODIFIED,
        DELETED
    }
}
