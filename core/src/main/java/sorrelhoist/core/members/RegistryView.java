package sorrelhoist.core.members;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a Eureka registry lists, as a client of its API keeps it: the whole from a full fetch,
 * changes from deltas, and the hash code by which both sides find that they differ.
 */
public final class RegistryView {
    /**
     * One instance as the registry lists it.
     *
     * @param app its application's name
     * @param id its instance id
     * @param status UP, DOWN, STARTING, OUT_OF_SERVICE or UNKNOWN; the override is already in it
     * @param address host:port
     * @param metadata as registered
     */
    public record Instance(
            String app, String id, String status, String address, Map<String, String> metadata) {}

    /**
     * One line of a delta.
     *
     * @param action ADDED, MODIFIED or DELETED
     * @param instance the instance
     */
    public record Change(String action, Instance instance) {}

    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private boolean complete;

    /** Makes a view that has fetched nothing. */
    public RegistryView() {}

    /** Takes a full fetch. */
    public void replaceAll(List<Instance> all) {
        instances.clear();
        all.forEach(i -> instances.put(key(i), i));
        complete = true;
    }

    /**
     * Takes a delta.
     *
     * @param changes its lines
     * @param hashCode the hash code that the registry says its whole list has
     * @return whether this view has the same; otherwise a full fetch is due
     */
    public boolean applyDelta(List<Change> changes, String hashCode) {
        for (Change c : changes) {
            if (c.action().equals("DELETED")) {
                instances.remove(key(c.instance()));
            } else {
                instances.put(key(c.instance()), c.instance());
            }
        }
        complete = complete && statusHashCode().equals(hashCode);
        return complete;
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
     * {@return counts by status, STATUS_COUNT_ for each in alphabetical order, as the registry
     * counts}
     */
    public String statusHashCode() {
        Map<String, Integer> counts = new TreeMap<>();
        instances.values().forEach(i -> counts.merge(i.status(), 1, Integer::sum));
        StringBuilder text = new StringBuilder();
        counts.forEach((status, n) -> text.append(status).append('_').append(n).append('_'));
        return text.toString();
    }

    private static String key(Instance i) {
        return i.app() + "/" + i.id();
    }
}
