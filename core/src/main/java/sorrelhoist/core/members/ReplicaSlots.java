package sorrelhoist.core.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Assigns consecutive numbers, from 0, to the routers of a fleet. The number of routers determines
 * the share of each shared limit that a router may use, so it is never underestimated: a router
 * that left keeps its slot for the duration of a lease, as it may still be sending, and the count
 * is at least the number of routers that the deployment expects, as the others may be about to
 * join.
 */
public final class ReplicaSlots {
    /**
     * The slot of a router.
     *
     * @param replicas the number of routers
     * @param index the number of this router, from 0
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
     * @param expectedReplicas the number of routers that the deployment expects, at least 1
     * @param leaseMicros how long a router that left keeps its slot, in microseconds
     */
    public ReplicaSlots(int expectedReplicas, long leaseMicros) {
        this.expectedReplicas = expectedReplicas;
        this.leaseMicros = leaseMicros;
    }

    /** Records that a router joined or returned. */
    public void join(String router) {
        Holder holder = holders.get(router);
        if (holder == null) {
            holder = new Holder();
            holder.index = firstFreeIndex();
            holders.put(router, holder);
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
     * Records that a router left.
     *
     * @param now the time, in microseconds
     * @param router the id of the router
     */
    public void leave(long now, String router) {
        Holder holder = holders.get(router);
        if (holder != null) {
            holder.joined = false;
            holder.leftAt = now;
        }
    }

    /**
     * Frees the slots whose leases have expired, and renumbers the remaining routers without gaps
     * in their previous order.
     *
     * @param now the time, in microseconds
     * @return whether any slot was freed
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

    /** {@return the slot of a router, or null if it has none} */
    public Slot slotOf(String router) {
        Holder holder = holders.get(router);
        if (holder == null) {
            return null;
        }
        return new Slot(Math.max(expectedReplicas, holders.size()), holder.index);
    }

    /** {@return the id of the router with this number, or null if there is none} */
    public String routerAt(int index) {
        return holders.entrySet().stream()
                .filter(entry -> entry.getValue().index == index)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }
}
