package sorrelhoist.core.members;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The instances of a Eureka registry, cached as clients of its API do: a full fetch gives all
 * instances, deltas give changes, and a hash code lets both sides detect a difference.
 */
public final class RegistryView {
    /**
     * An instance as listed by the registry.
     *
     * @param app the name of its application
     * @param id its instance id
     * @param status UP, DOWN, STARTING, OUT_OF_SERVICE or UNKNOWN, after any override
     * @param address host:port
     * @param metadata its registered metadata
     */
    public record Instance(
            String app, String id, String status, String address, Map<String, String> metadata) {
        private String key() {
            return app + "/" + id;
        }
    }

    /**
     * A change in a delta.
     *
     * @param action ADDED, MODIFIED or DELETED
     * @param instance the changed instance
     */
    public record Change(String action, Instance instance) {}

    private static final String DELETED = "DELETED";

    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private boolean complete;

    /** Creates an empty view that requires a full fetch. */
    public RegistryView() {}

    /** Replaces all instances by the result of a full fetch. */
    public void replaceAll(List<Instance> all) {
        instances.clear();
        all.forEach(instance -> instances.put(instance.key(), instance));
        complete = true;
    }

    /**
     * Applies a delta.
     *
     * @param changes the changes, in order
     * @param hashCode the hash code of the complete list in the registry
     * @return whether this view has the same hash code; otherwise a full fetch is needed
     */
    public boolean applyDelta(List<Change> changes, String hashCode) {
        changes.forEach(this::apply);
        complete = complete && statusHashCode().equals(hashCode);
        return complete;
    }

    private void apply(Change change) {
        Instance instance = change.instance();
        if (change.action().equals(DELETED)) {
            instances.remove(instance.key());
        } else {
            instances.put(instance.key(), instance);
        }
    }

    /** {@return whether deltas can be applied; otherwise a full fetch is needed} */
    public boolean isComplete() {
        return complete;
    }

    /** {@return all instances; a copy} */
    public List<Instance> instances() {
        return new ArrayList<>(instances.values());
    }

    /**
     * {@return the hash code as computed by the registry: {@code STATUS_COUNT_} for each status, in
     * alphabetical order}
     */
    public String statusHashCode() {
        Map<String, Integer> counts = new TreeMap<>();
        instances.values().forEach(instance -> counts.merge(instance.status(), 1, Integer::sum));
        StringBuilder hashCode = new StringBuilder();
        counts.forEach((status, n) -> hashCode.append(status).append('_').append(n).append('_'));
        return hashCode.toString();
    }
}
