package sorrelhoist.standin.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import sorrelhoist.standin.TraceWriter;
import sorrelhoist.standin.registry.LeaseChange.Action;

/** The leases of a registry, with their recent changes and snapshots of the past. */
final class LeaseTable {
    private static final int MAX_SNAPSHOTS = 500;
    private final long deltaMicros;
    private final RegistryTrace trace;
    private final TreeMap<String, Lease> leases = new TreeMap<>();
    private final ArrayDeque<LeaseChange> changes = new ArrayDeque<>();
    private final ArrayDeque<LeaseSnapshot> snapshots = new ArrayDeque<>();

    /**
     * Creates an empty table.
     *
     * @param deltaMicros microseconds for which a change is published
     * @param trace takes each change
     */
    LeaseTable(long deltaMicros, RegistryTrace trace) {
        this.deltaMicros = deltaMicros;
        this.trace = trace;
        takeSnapshot(TraceWriter.nowMicros());
    }

    /** {@return the lease of an instance, or null} */
    Lease find(String application, String instanceId) {
        return leases.get(Lease.key(application, instanceId));
    }

    /** {@return the first lease of an instance with this id in any application} */
    Optional<Lease> findByInstanceId(String instanceId) {
        return leases.values().stream()
                .filter(lease -> lease.instanceId().equals(instanceId))
                .findFirst();
    }

    /** {@return the leases of an application} */
    List<Lease> ofApplication(String application) {
        return leases.values().stream()
                .filter(lease -> lease.application().equalsIgnoreCase(application))
                .toList();
    }

    /** Replaces a lease by itself with a new time of renewal, which is no change. */
    void renew(Lease renewed) {
        leases.put(renewed.key(), renewed);
    }

    /** Adds a lease, or replaces the one that the instance had. */
    void register(Lease lease) {
        boolean known = leases.containsKey(lease.key());
        put(known ? Action.MODIFIED : Action.ADDED, lease);
    }

    /** Replaces a lease. */
    void modify(Lease lease) {
        put(Action.MODIFIED, lease);
    }

    private void put(Action action, Lease lease) {
        leases.put(lease.key(), lease);
        recordChange(action, lease);
    }

    /** Removes a lease. */
    void delete(Lease lease) {
        leases.remove(lease.key());
        recordChange(Action.DELETED, lease);
    }

    /** Deletes the leases that were not renewed in time. */
    void evictExpired(long nowMicros) {
        for (Lease lease : new ArrayList<>(leases.values())) {
            if (lease.isExpired(nowMicros)) {
                delete(lease);
            }
        }
    }

    /** {@return the newest snapshot from that time or before, or else the oldest} */
    LeaseSnapshot snapshotAt(long micros) {
        LeaseSnapshot visible = snapshots.peekFirst();
        for (LeaseSnapshot snapshot : snapshots) {
            visible = snapshot.atMicros() <= micros ? snapshot : visible;
        }
        return visible;
    }

    private void recordChange(Action action, Lease lease) {
        long now = TraceWriter.nowMicros();
        changes.add(new LeaseChange(now, action, lease));
        trace.changed(action, lease);
        takeSnapshot(now);
    }

    private void takeSnapshot(long now) {
        changes.removeIf(change -> change.atMicros() < now - deltaMicros);
        snapshots.add(new LeaseSnapshot(now, List.copyOf(leases.values()), List.copyOf(changes)));
        if (snapshots.size() > MAX_SNAPSHOTS) {
            snapshots.poll();
        }
    }
}
