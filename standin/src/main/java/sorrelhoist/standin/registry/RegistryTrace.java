package sorrelhoist.standin.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.standin.TraceWriter;
import sorrelhoist.standin.registry.LeaseChange.Action;

/**
 * The trace events of a registry. It remembers which status of an instance was published last, as
 * only the first time counts as telling the clients.
 */
final class RegistryTrace {
    /** The status of an instance that is not listed any more. */
    private static final String GONE = "GONE";

    private final TraceWriter out;
    private final Map<String, String> published = new HashMap<>();

    RegistryTrace(TraceWriter out) {
        this.out = out;
    }

    void changed(Action action, Lease lease) {
        out.write(
                "change",
                "engine",
                lease.instanceId(),
                "action",
                action.name(),
                "status",
                lease.status());
    }

    /** A client was given the full list. */
    void listPublished(List<Lease> leases) {
        Map<String, String> listed = new HashMap<>();
        leases.forEach(lease -> listed.put(lease.instanceId(), lease.status()));
        for (String id : List.copyOf(published.keySet())) {
            if (!listed.containsKey(id)) {
                statusPublished(id, GONE);
            }
        }
        listed.forEach(this::statusPublished);
    }

    /** A client was given changes. */
    void changesPublished(List<LeaseChange> changes) {
        for (LeaseChange change : changes) {
            boolean deleted = change.action() == Action.DELETED;
            Lease lease = change.lease();
            statusPublished(lease.instanceId(), deleted ? GONE : lease.status());
        }
    }

    void controlReceived(String command) {
        out.write("told", "command", String.valueOf(command));
    }

    private void statusPublished(String id, String status) {
        if (!status.equals(published.put(id, status))) {
            out.write("listed", "engine", id, "status", status);
        }
    }
}
