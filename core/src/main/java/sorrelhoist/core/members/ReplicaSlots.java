package sorrelhoist.core.members;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Numbers for the edges, 0 to one less than their count. The count decides how large a part of
 * every shared limit an edge grants itself, so it errs high: an edge that left keeps its seat for a
 * while, as it may still be sending, and at least as many are counted as the deployment expects, as
 * the others may be about to come.
 */
public final class ReplicaSlots {
    /**
     * An edge's place.
     *
     * @param replicas how many there are
     * @param index its number
     */
    public record Slot(int replicas, int index) {}

    private static final class Held {
        int number;
        boolean attached;
        long leftAt;
    }

    private final TreeMap<String, Held> seats = new TreeMap<>();
    private final int expected;
    private final long lease;

    /**
     * Makes it without edges.
     *
     * @param expected edges that the deployment is to have, 1 or more
     * @param leaseMicros how long an edge that left keeps its seat
     */
    public ReplicaSlots(int expected, long leaseMicros) {
        this.expected = expected;
        this.lease = leaseMicros;
    }

    /** An edge came, or came back. */
    public void join(String edge) {
        Held seat = seats.get(edge);
        if (seat == null) {
            seat = new Held();
            seat.number = firstFree();
            seats.put(edge, seat);
        }
        seat.attached = true;
    }

    /** An edge left. */
    public void leave(long now, String edge) {
        Held seat = seats.get(edge);
        if (seat != null) {
            seat.attached = false;
            seat.leftAt = now;
        }
    }

    /**
     * Gives up seats whose edges stayed away, and closes the gaps in the numbers' order. {@return
     * whether anything changed}
     */
    public boolean expireLeases(long now) {
        if (!seats.values().removeIf(s -> !s.attached && now - s.leftAt >= lease)) {
            return false;
        }
        List<Held> left = new ArrayList<>(seats.values());
        left.sort(java.util.Comparator.comparingInt(s -> s.number));
        for (int i = 0; i < left.size(); i++) {
            left.get(i).number = i;
        }
        return true;
    }

    private int firstFree() {
        int number = 0;
        for (boolean taken = true; taken; ) {
            int candidate = number;
            taken = seats.values().stream().anyMatch(s -> s.number == candidate);
            number += taken ? 1 : 0;
        }
        return number;
    }

    /** {@return an edge's place, or null for one without} */
    public Slot slotOf(String edge) {
        Held seat = seats.get(edge);
        return seat == null ? null : new Slot(Math.max(expected, seats.size()), seat.number);
    }

    /** {@return the edge with this number, or null} */
    public String edgeAt(int number) {
        return seats.entrySet().stream()
                .filter(e -> e.getValue().number == number)
                .map(e -> e.getKey())
                .findFirst()
                .orElse(null);
    }
}
