package sorrelhoist.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import sorrelhoist.routing.Reason.Kind;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.Role;

/** Selects the endpoints that may be sent a request now. */
final class CandidateFilter {
    /**
     * Minimum share of a role's endpoints that stay candidates whatever their health, as the fault
     * may affect all of them.
     */
    private static final double MIN_CANDIDATE_SHARE = 0.34;

    private final RoutingContext context;
    private final EndpointTable endpoints;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final ArrivalRate arrivals;

    CandidateFilter(
            RoutingContext context,
            EndpointTable endpoints,
            OutlierDetector outliers,
            SlowStart slowStart,
            ArrivalRate arrivals) {
        this.context = context;
        this.endpoints = endpoints;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.arrivals = arrivals;
    }

    /**
     * {@return the endpoints of a role that may be sent this request, sorted by id; ejected ones
     * are included only to reach the minimum share}
     */
    List<Endpoint> candidates(Role role, TrackedRequest request) {
        List<Endpoint> all = endpoints.serving(role, endpoint -> allows(request, endpoint));
        List<Endpoint> healthy =
                new ArrayList<>(all.stream().filter(endpoint -> !endpoint.health.ejected).toList());
        int minCount = Math.max(Math.min(1, all.size()), (int) (MIN_CANDIDATE_SHARE * all.size()));
        if (healthy.size() < minCount) {
            all.stream()
                    .filter(endpoint -> endpoint.health.ejected)
                    .sorted(Comparator.comparingDouble(endpoint -> endpoint.health.failureRate))
                    .limit(minCount - healthy.size())
                    .forEach(healthy::add);
            healthy.sort(Comparator.comparing(endpoint -> endpoint.id));
        }
        int key = request.classTenantKey();
        long now = context.now();
        List<Endpoint> reachable =
                Endpoints.preferring(healthy, endpoint -> endpoint.avoidedUntil <= now);
        List<Endpoint> untried =
                Endpoints.preferring(
                        reachable, endpoint -> !request.failedEndpoints.contains(endpoint));
        return Endpoints.preferring(
                untried, endpoint -> endpoint.backoffUntil.getOrDefault(key, 0L) <= now);
    }

    /**
     * Finds an ejected endpoint whose recovery probe is due, and schedules the endpoint's next
     * probe. The given request serves as the probe; it has to be one that can afford a retry.
     *
     * @return the endpoint, or null if no probe is due or the request cannot afford a retry
     */
    Selection recoveryProbe(Role role, TrackedRequest request) {
        boolean idempotent = request.requestClass.idempotency() == Idempotency.SAFE;
        if (!request.failedEndpoints.isEmpty() || role == Role.WRITE && !idempotent) {
            return null;
        }
        List<Endpoint> due =
                endpoints.serving(
                        role,
                        endpoint ->
                                outliers.isRecoveryProbeDue(endpoint) && allows(request, endpoint));
        if (due.isEmpty()) {
            return null;
        }
        outliers.recordRecoveryProbe(due.get(0));
        return new Selection(due.get(0), Kind.TRIAL, Double.NaN, null, Double.NaN);
    }

    /** {@return the reason why no endpoint of a role can be sent a request} */
    Kind unavailability(Role role, TrackedRequest request) {
        List<Endpoint> all = endpoints.serving(role);
        if (all.isEmpty()) {
            return endpoints.isDraining(role) ? Kind.DRAINING : Kind.NO_SERVER;
        }
        boolean repeatable =
                all.stream()
                        .anyMatch(
                                endpoint ->
                                        IdempotencyGuard.mayRunAt(
                                                request, endpoint, context.now()));
        return repeatable ? Kind.COLD : Kind.REPEAT_UNSAFE;
    }

    private boolean allows(TrackedRequest request, Endpoint endpoint) {
        return IdempotencyGuard.mayRunAt(request, endpoint, context.now())
                && slowStartAllows(endpoint);
    }

    private boolean slowStartAllows(Endpoint endpoint) {
        int peers = endpoints.servingPeersOf(endpoint).size();
        Role role = endpoints.roleOf(endpoint);
        return slowStart.allows(
                endpoint, role, context.settings(), arrivals.meanGapMicros(), peers, context.now());
    }
}
