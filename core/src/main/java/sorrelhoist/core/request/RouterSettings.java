package sorrelhoist.core.request;

import sorrelhoist.core.reservation.ReleasePolicy;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.routing.RoutingSettings;

/**
 * What a router is given at its start.
 *
 * @param identity its name and incarnation
 * @param routing the routing policy's settings
 * @param timeouts how long requests may take
 * @param streams how answers are treated after their first token
 * @param maxOpenRequests requests that may be open at once; more are rejected at once
 * @param releaseReach which engines can release what a request has reserved
 * @param seed of all randomness
 */
public record RouterSettings(
        RouterIdentity identity,
        RoutingSettings routing,
        RequestTimeouts timeouts,
        StreamSettings streams,
        int maxOpenRequests,
        ReleaseReach releaseReach,
        long seed) {
    /** {@return when releases are sent} */
    ReleasePolicy releasePolicy() {
        return new ReleasePolicy(releaseReach, routing.serverLimits().reservationLimitMicros());
    }
}
