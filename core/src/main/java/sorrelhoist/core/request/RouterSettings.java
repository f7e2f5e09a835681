package sorrelhoist.core.request;

import sorrelhoist.core.reservation.ReleasePolicy;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.routing.RoutingSettings;

/**
 * Configuration of a router.
 *
 * @param identity name and incarnation of the router
 * @param routing settings of the routing policy
 * @param timeouts time limits of requests
 * @param streams settings for answers after their first token
 * @param maxOpenRequests maximum number of open requests; further requests are rejected immediately
 * @param releaseReach which engines can release the reservations of a request
 * @param seed seed of all random decisions
 */
public record RouterSettings(
        RouterIdentity identity,
        RoutingSettings routing,
        RequestTimeouts timeouts,
        StreamSettings streams,
        int maxOpenRequests,
        ReleaseReach releaseReach,
        long seed) {
    /** {@return the policy that determines when releases are sent} */
    ReleasePolicy releasePolicy() {
        return new ReleasePolicy(releaseReach, routing.serverLimits().reservationLimitMicros());
    }
}
