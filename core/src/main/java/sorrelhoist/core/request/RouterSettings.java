package sorrelhoist.core.request;

import java.util.List;
import sorrelhoist.core.reservation.ReleasePolicy;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.routing.Routing.RoutingSettings;

/**
 * What a router is told at its start beyond {@link RoutingSettings}.
 *
 * @param routerName this edge's name; part of every request's name
 * @param incarnation grows with every start, so that names are never used again
 * @param routing the decision module's settings
 * @param firstTokenTimeoutsMicros for each class: until the first token, where the client did not
 *     say, in microseconds
 * @param firstTokenTimeoutsPer1000TokensMicros for each class: added for each 1,000 prompt tokens,
 *     in microseconds
 * @param deadlineMarginMicros by how much answers come before a client's time is up: the way back
 *     to it
 * @param resumesBrokenStreams whether a broken stream goes on elsewhere, where its class is safe to
 *     repeat
 * @param clientStallTimeoutMicros how long a client may take nothing of a running answer
 * @param maxOpenRequests requests that may be open at once; more are refused at once
 * @param seed of all randomness
 * @param streams what is settled of answers that have begun
 * @param releaseReach which engines can release what a request has reserved
 */
public record RouterSettings(
        String routerName,
        long incarnation,
        RoutingSettings routing,
        List<Long> firstTokenTimeoutsMicros,
        List<Long> firstTokenTimeoutsPer1000TokensMicros,
        long deadlineMarginMicros,
        boolean resumesBrokenStreams,
        long clientStallTimeoutMicros,
        int maxOpenRequests,
        long seed,
        StreamSettings streams,
        ReleaseReach releaseReach) {
    /**
     * Settings with {@link StreamSettings#TOKEN_STREAMS}, and reservations that their holders
     * release.
     */
    public RouterSettings(
            String routerName,
            long incarnation,
            RoutingSettings routing,
            List<Long> firstTokenTimeoutsMicros,
            List<Long> firstTokenTimeoutsPer1000TokensMicros,
            long deadlineMarginMicros,
            boolean resumesBrokenStreams,
            long clientStallTimeoutMicros,
            int maxOpenRequests,
            long seed) {
        this(
                routerName,
                incarnation,
                routing,
                firstTokenTimeoutsMicros,
                firstTokenTimeoutsPer1000TokensMicros,
                deadlineMarginMicros,
                resumesBrokenStreams,
                clientStallTimeoutMicros,
                maxOpenRequests,
                seed,
                StreamSettings.TOKEN_STREAMS,
                ReleaseReach.HOLDER);
    }

    /** {@return when releases are sent} */
    ReleasePolicy releasePolicy() {
        return new ReleasePolicy(releaseReach, routing.serverLimits().reservationLimitMicros());
    }
}
