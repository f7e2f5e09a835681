package sorrelhoist.core.members;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a Eureka registry lists, as a client of its API caches it: everything from a full fetch,
 * changes from deltas, and the hash code by which both sides find that they differ.
 */
public final class RegistryView {
    /**
     * One instance as the registry lists it.
     *
     * @param app its application's name
     * @param id its instance id
     * @param status UP, DOWN, STARTING, OUT_OF_SERVICE or UNKNOWN; an override is already applied
     * @param address host:port
     * @param metadata as registered
     */
    public record Instance(
            String app, String id, String status, String address, Map<String, String> metadata) {
        private String key() {
            return app + "/" + id;
        }
    }

    /**
     * One change of a delta.
     *
     * @param action ADDED, MODIFIED or DELETED
     * @param instance the instance
     */
    public record Change(String action, Instance instance) {}

    private static final String DELETED = "DELETED";

    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private boolean complete;

    /** Creates a view that has fetched nothing. */
    public RegistryView() {}

    /** Takes a full fetch. */
    public void replaceAll(List<Instance> all) {
        instances.clear();
        all.forEach(instance -> instances.put(instance.key(), instance));
        complete = true;
    }

    /**
     * Takes a delta.
     *
     * @param changes its changes, in order
     * @param hashCode the hash code that the registry says its whole list has
     * @return whether this view has the same; otherwise a full fetch is due
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

    /** {@return whether a delta makes sense; otherwise a full fetch is due} */
    public boolean isComplete() {
        return complete;
    }

    /** {@return the list} */
    public List<Instance> instances() {
        return new ArrayList<>(instances.values());
    }

    /**
     * {@return the hash code as the registry computes it: STATUS_COUNT_ for each status, in
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
