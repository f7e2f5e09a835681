package sorrelhoist.standin.registry;

import java.util.List;

/**
 * The leases and the recent changes at a time.
 *
 * @param atMicros when, microseconds since 1970
 * @param leases all leases, by key
 * @param changes the changes that a delta publishes
 */
record LeaseSnapshot(long atMicros, List<Lease> leases, List<LeaseChange> changes) {}
