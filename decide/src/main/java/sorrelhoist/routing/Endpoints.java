package sorrelhoist.routing;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/** Operations on lists of endpoints that several selections share. */
final class Endpoints {
    private Endpoints() {}

    /** {@return those that match, or all where none does} */
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
     * Breaks a tie by the conversation's hash: by the order of their ids all routers would pile on
     * the first.
     */
    static boolean winsTie(TrackedRequest request, Endpoint endpoint, Endpoint other) {
        String key = request.tieBreakKey();
        return Hash.of(key, endpoint.id) > Hash.of(key, other.id);
    }
}
