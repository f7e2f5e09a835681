package sorrelhoist.core.request;

import java.util.Map;
import sorrelhoist.core.reservation.ReleaseCause;

/** Gauges and counters of a router. Must be read on the router's thread. */
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

    /** {@return the number of engines on the endpoint list} */
    public int engineCount() {
        return engineKinds.size();
    }

    /** {@return the number of requests that still await their final result} */
    public int openRequests() {
        return requests.openCount();
    }

    /**
     * {@return the number of requests that the routing policy still knows, including those whose
     * client has its result or has disconnected}
     */
    public int knownRequests() {
        return requests.knownToPolicy().size();
    }

    /** {@return the number of attempts whose outcome is not known yet} */
    public int runningAttempts() {
        return (int)
                requests.knownToPolicy().stream()
                        .filter(request -> request.runningAttempt != null)
                        .count();
    }

    /**
     * {@return sends ordered by the routing policy minus outcomes reported to it; always equal to
     * {@link #runningAttempts()}}
     */
    public long sendsWithoutOutcome() {
        return attempts.sendsWithoutOutcome();
    }

    /** {@return the number of reservations whose requests may still use them} */
    public int wantedReservations() {
        return reservations.wantedCount();
    }

    /**
     * {@return the number of reservations that are held or may be held, including those being
     * released}
     */
    public int reservationCount() {
        return reservations.size();
    }

    /**
     * {@return the number of reservations that can currently be released at least in part; the
     * others wait for an engine to become reachable again}
     */
    public int releasableReservations() {
        return reservations.releasableCount();
    }

    /** {@return the number of release calls sent since the start, by cause} */
    public Map<ReleaseCause, Long> releasesByCause() {
        return reservations.releasesByCause();
    }

    /**
     * {@return how long the longest-idle reservation has been idle, in microseconds; 0 if there is
     * none} The idle time counts from the opening of the reservation or, if later, from the end of
     * the latest attempt that was answered by its engine.
     */
    public long oldestReservationMicros() {
        return reservations.oldestMicros();
    }

    /**
     * {@return the number of written attempts whose delivery to the engine is not confirmed yet}
     */
    public int unconfirmedAttempts() {
        return deliveries.unconfirmedAttempts();
    }

    /** {@return the number of attempts that were considered undelivered, since the start} */
    public long undeliveredAttempts() {
        return deliveries.reportedUnconfirmed();
    }

    /** {@return the number of reachability checks sent to engines, since the start} */
    public long reachabilityChecks() {
        return deliveries.reachabilityChecks();
    }

    /**
     * {@return the number of reservations that no engine released in time or that were dropped to
     * make room for others, since the start}
     */
    public long expiredReleases() {
        return reservations.expiredCount();
    }
}
