package sorrelhoist.routing;

import java.util.Map;
import java.util.TreeMap;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;

/** One server as seen by this router: its listing, its load and its health. */
final class Endpoint {
    final String id;
    final SendHistory history = new SendHistory();
    final InFlightAttempts inFlight = new InFlightAttempts();
    final EndpointHealth health = new EndpointHealth();

    /**
     * Decaying delay beyond the expected time, as last observed by this router or received by
     * gossip.
     */
    final DecayingValue queueingDelay = new DecayingValue();

    /**
     * Times until which the server is avoided after it rejected a request as full, by class and
     * tenant (see {@link TrackedRequest#classTenantKey}).
     */
    final Map<Integer, Long> backoffUntil = new TreeMap<>();

    int zone;
    int kind;
    int cell;
    ServerState state = ServerState.GONE;
    double size;

    /** Listed start time of the process; another start time means another process. */
    long since;

    /** Start time of the process on this router's clock. */
    long startedAt = SlowStart.LONG_AGO;

    /**
     * Time until which other endpoints are preferred, as an attempt is not confirmed to have
     * reached this one.
     */
    long avoidedUntil;

    /** Share of memory in use according to the last load report. */
    double memoryShare;

    /** Time of the last load probe. */
    long probedAt;

    /** Time at which the last prefill ended at the endpoint. */
    long lastPrefillAt;

    /** Estimate that the current selection compares; meaningless after the selection. */
    double estimatedDelay;

    Endpoint(String id) {
        this.id = id;
    }

    void update(Server listed) {
        zone = listed.zone();
        kind = listed.kind();
        cell = listed.cell();
        state = listed.state();
        size = listed.size();
        since = listed.since();
    }

    /** Applies a load report. Values that it does not contain stay unchanged. */
    void update(ServerLoad report) {
        if (!Double.isNaN(report.memoryShare())) {
            memoryShare = report.memoryShare();
        }
    }

    boolean isServing() {
        return state == ServerState.SERVING;
    }
}
