package sorrelhoist.core.statetransfer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which routers a starting one asks for a snapshot: those of its own zone first, as they
 * use the same engines; each a second time if its transfer broke off, and no more than a few in
 * all. What is not transferred is learned again.
 */
public final class DonorSelection {
    /**
     * A router that could be asked.
     *
     * @param edge its name
     * @param zone its zone
     * @param address where it is reached, host:port
     */
    public record Donor(String edge, String zone, String address) {}

    private static final int MAX_ATTEMPTS_PER_DONOR = 2;
    private static final int MAX_TRANSFERS = 4;
    private static final int MAX_COMPLETED_TRANSFERS = 2;

    private final String zone;
    private final Map<String, Integer> attempts = new HashMap<>();
    private int transfers;
    private int completedTransfers;

    /** Creates the selection of a router in this zone. */
    public DonorSelection(String zone) {
        this.zone = zone;
    }

    /** {@return which of these to ask next, or null for none} */
    public Donor nextDonor(List<Donor> donors) {
        if (completedTransfers >= MAX_COMPLETED_TRANSFERS || transfers >= MAX_TRANSFERS) {
            return null;
        }
        Optional<Donor> next =
                donors.stream()
                        .filter(donor -> attemptsAt(donor) < MAX_ATTEMPTS_PER_DONOR)
                        .min(
                                Comparator.comparing((Donor donor) -> !donor.zone().equals(zone))
                                        .thenComparing(this::attemptsAt)
                                        .thenComparing(Donor::edge));
        next.ifPresent(
                donor -> {
                    transfers++;
                    attempts.merge(donor.edge(), 1, Integer::sum);
                });
        return next.orElse(null);
    }

    private int attemptsAt(Donor donor) {
        return attempts.getOrDefault(donor.edge(), 0);
    }

    /** A transfer was completed: this donor is not asked again. */
    public void transferCompleted(Donor donor) {
        attempts.put(donor.edge(), MAX_ATTEMPTS_PER_DONOR);
        completedTransfers++;
    }
}
