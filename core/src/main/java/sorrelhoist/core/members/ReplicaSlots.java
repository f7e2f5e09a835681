package sorrelhoist.core.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Numbers the routers of a fleet from 0. Their count decides how large a share of every shared
 * limit a router takes, so it errs high: a router that left keeps its slot under a lease, as it may
 * still be sending, and at least as many are counted as the deployment expects, as the others may
 * be about to join.
 */
public final class ReplicaSlots {
    /**
     * A router's slot.
     *
     * @param replicas how many routers there are
     * @param index its number, from 0
     */
    public record Slot(int replicas, int index) {}

    private static final class Holder {
        int index;
        boolean joined;
        long leftAt;
    }

    private final Map<String, Holder> holders = new TreeMap<>();
    private final int expectedReplicas;
    private final long leaseMicros;

    /**
     * Creates slots without routers.
     *
     * @param expectedReplicas routers that the deployment is to have, 1 or more
     * @param leaseMicros how long a router that left keeps its slot, in microseconds
     */
    public ReplicaSlots(int expectedReplicas, long leaseMicros) {
        this.expectedReplicas = expectedReplicas;
        this.leaseMicros = leaseMicros;
    }

    /** A router joined, or came back. */
    public void join(String edge) {
        Holder holder = holders.get(edge);
        if (holder == null) {
            holder = new Holder();
            holder.index = firstFreeIndex();
            holders.put(edge, holder);
        }
        holder.joined = true;
    }

    private int firstFreeIndex() {
        Set<Integer> taken =
                holders.values().stream().map(holder -> holder.index).collect(Collectors.toSet());
        int index = 0;
        while (taken.contains(index)) {
            index++;
        }
        return index;
    }

    /**
     * A router left.
     *
     * @param now microseconds
     * @param edge its name
     */
    public void leave(long now, String edge) {
        Holder holder = holders.get(edge);
        if (holder != null) {
            holder.joined = false;
            holder.leftAt = now;
        }
    }

    /**
     * Frees the slots of routers that stayed away, and closes the gaps in the order of numbers.
     *
     * @param now microseconds
     * @return whether anything changed
     */
    public boolean expireLeases(long now) {
        boolean expired =
                holders.values()
                        .removeIf(holder -> !holder.joined && now - holder.leftAt >= leaseMicros);
        if (expired) {
            renumber();
        }
        return expired;
    }

    private void renumber() {
        List<Holder> remaining = new ArrayList<>(holders.values());
        remaining.sort(Comparator.comparingInt(holder -> holder.index));
        for (int i = 0; i < remaining.size(); i++) {
            remaining.get(i).index = i;
        }
    }

    /** {@return a router's slot, or null for one without} */
    public Slot slotOf(String edge) {
        Holder holder = holders.get(edge);
        if (holder == null) {
            return null;
        }
        return new Slot(Math.max(expectedReplicas, holders.size()), holder.index);
    }

    /** {@return the router with this number, or null} */
    public String edgeAt(int index) {
        return holders.entrySet().stream()
                .filter(entry -> entry.getValue().index == index)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }
}
