package sorrelhoist.core.request;

import java.util.Map;
import sorrelhoist.core.reservation.ReleaseCause;

/** Gauges and counters of a router, read on its thread. */
public final class RouterMetrics {
    private final RequestTable requests;
    private final EngineKinds engineKinds;
    private final AttemptTracker attempts;
    private final AttemptDeliveries deliveries;
    private final RequestReservations reservations;

    RouterMetrics(
            RequestTable requests,
            EngineKinds engineKinds,
            AttemptTracker attempts,
            AttemptDeliveries deliveries,
            RequestReservations reservations) {
        this.requests = requests;
        this.engineKinds = engineKinds;
        this.attempts = attempts;
        this.deliveries = deliveries;
        this.reservations = reservations;
    }

    /** {@return engines on the endpoint list} */
    public int engineCount() {
        return engineKinds.size();
    }

    /** {@return requests whose clients have no final result yet} */
    public int openRequests() {
        return requests.openCount();
    }

    /** {@return requests that the routing policy still knows, with or without a client} */
    public int knownRequests() {
        return requests.knownToPolicy().size();
    }

    /** {@return attempts whose outcome is not known yet} */
    public int runningAttempts() {
        return (int)
                requests.knownToPolicy().stream()
                        .filter(request -> request.runningAttempt != null)
                        .count();
    }

    /**
     * {@return sends that the routing policy ordered less the outcomes it was told: never other
     * than {@link #runningAttempts()}}
     */
    public long sendsWithoutOutcome() {
        return attempts.sendsWithoutOutcome();
    }

    /** {@return reservations of requests that may still use them} */
    public int wantedReservations() {
        return reservations.wantedCount();
    }

    /** {@return reservations that are held or may be, whether or not their release is under way} */
    public int reservationCount() {
        return reservations.size();
    }

    /**
     * {@return reservations of which something can be released as things are; the others wait for
     * an engine to be reachable again}
     */
    public int releasableReservations() {
        return reservations.releasableCount();
    }

    /** {@return releases that were asked for since the start, by their cause} */
    public Map<ReleaseCause, Long> releasesByCause() {
        return reservations.releasesByCause();
    }

    /** {@return how long the oldest of what is held has waited, in microseconds} */
    public long oldestReservationMicros() {
        return reservations.oldestMicros();
    }

    /** {@return written attempts of which nothing shows yet that their engines have them} */
    public int unconfirmedAttempts() {
        return deliveries.unconfirmedAttempts();
    }

    /** {@return attempts that were taken for undelivered, since the start} */
    public long undeliveredAttempts() {
        return deliveries.reportedUnconfirmed();
    }

    /** {@return how often engines were asked for a sign of life, since the start} */
    public long reachabilityChecks() {
        return deliveries.reachabilityChecks();
    }

    /** {@return reservations that no engine has released in time, since the start} */
    public long expiredReleases() {
        return reservations.expiredCount();
    }
}
