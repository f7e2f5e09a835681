package sorrelhoist.routing;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/** Operations on endpoint lists that are shared by the selectors. */
final class Endpoints {
    private Endpoints() {}

    /** {@return the endpoints that match, or all if none matches} */
    static List<Endpoint> preferring(List<Endpoint> from, Predicate<Endpoint> condition) {
        List<Endpoint> matching = from.stream().filter(condition).toList();
        return matching.isEmpty() ? from : matching;
    }

    static double totalSize(List<Endpoint> endpoints) {
        return endpoints.stream().mapToDouble(endpoint -> endpoint.size).sum();
    }

    /** {@return the endpoint with the highest hash weight for a key} */
    static Endpoint byHash(String key, List<Endpoint> endpoints) {
        return Collections.max(
                endpoints, Comparator.comparingLong(endpoint -> Hash.of(key, endpoint.id)));
    }

    /**
     * Breaks a tie by the hash of the session. If ties were broken by the order of ids, all routers
     * would send to the first endpoint.
     */
    static boolean winsTie(TrackedRequest request, Endpoint endpoint, Endpoint other) {
        String key = request.tieBreakKey();
        return Hash.of(key, endpoint.id) > Hash.of(key, other.id);
    }
}
