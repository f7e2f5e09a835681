package sorrelhoist.core.statetransfer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the routers that a starting router asks for a snapshot. Routers of its own zone come
 * first, as they use the same engines. A donor whose transfer broke off is asked at most once more,
 * and the total number of transfers is limited. Knowledge that is not transferred is learned again.
 */
public final class DonorSelection {
    /**
     * A router that can be asked for a snapshot.
     *
     * @param edge the router's name
     * @param zone the router's zone
     * @param address address of the router, host:port
     */
    public record Donor(String edge, String zone, String address) {}

    private static final int MAX_ATTEMPTS_PER_DONOR = 2;
    private static final int MAX_TRANSFERS = 4;
    private static final int MAX_COMPLETED_TRANSFERS = 2;

    private final String zone;
    private final Map<String, Integer> attempts = new HashMap<>();
    private int transfers;
    private int completedTransfers;

    /** Creates the selection for a router in this zone. */
    public DonorSelection(String zone) {
        this.zone = zone;
    }

    /**
     * Selects the next router to ask and counts the attempt. {@return the router; null if there is
     * none, or no further transfer is allowed}
     */
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

    /** Registers a completed transfer, so that this donor is not asked again. */
    public void transferCompleted(Donor donor) {
        attempts.put(donor.edge(), MAX_ATTEMPTS_PER_DONOR);
        completedTransfers++;
    }
}
