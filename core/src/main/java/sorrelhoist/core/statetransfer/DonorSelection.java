package sorrelhoist.core.statetransfer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides whom a new router asks: edges of its own zone first, as their engines are its engines;
 * one that broke off once more, then others, and no more than a few exchanges in all. What it then
 * does not know it learns by itself.
 */
public final class DonorSelection {
    /**
     * An edge that could teach.
     *
     * @param edge its name
     * @param zone its zone
     * @param address where it is reached
     */
    public record Donor(String edge, String zone, String address) {}

    private static final int TRIES_EACH = 2;
    private static final int EXCHANGES = 4;
    private static final int TEACHERS = 2;
    private final String zone;
    private final Map<String, Integer> tried = new HashMap<>();
    private int exchanges;
    private int transferCompleted;

    /** Makes a plan for an edge of this zone. */
    public DonorSelection(String zone) {
        this.zone = zone;
    }

    /** {@return whom to ask next, or null for nobody} */
    public Donor nextDonor(List<Donor> peers) {
        if (transferCompleted >= TEACHERS || exchanges >= EXCHANGES) {
            return null;
        }
        List<Donor> left =
                new ArrayList<>(
                        peers.stream()
                                .filter(p -> tried.getOrDefault(p.edge(), 0) < TRIES_EACH)
                                .toList());
        left.sort(
                Comparator.comparing((Donor p) -> !p.zone().equals(zone))
                        .thenComparing(p -> tried.getOrDefault(p.edge(), 0))
                        .thenComparing(Donor::edge));
        if (left.isEmpty()) {
            return null;
        }
        exchanges++;
        tried.merge(left.get(0).edge(), 1, Integer::sum);
        return left.get(0);
    }

    /** An exchange came to its end in good order: this peer is not asked again. */
    public void transferCompleted(Donor peer) {
        tried.put(peer.edge(), TRIES_EACH);
        transferCompleted++;
    }
}
