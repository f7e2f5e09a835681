package sorrelhoist.routing;

import java.util.Map;
import java.util.TreeMap;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;

/** One server as this router sees it: its listing, its load and its health. */
final class Endpoint {
    final String id;
    final SendHistory history = new SendHistory();
    final InFlightAttempts inFlight = new InFlightAttempts();
    final EndpointHealth health = new EndpointHealth();

    /** Delay beyond the expected that was last observed here, by any router that told of it. */
    final DecayingDelay queueingDelay = new DecayingDelay();

    /**
     * Until when the server rejects, by class and tenant: {@link TrackedRequest#classTenantKey}.
     */
    final Map<Integer, Long> backoffUntil = new TreeMap<>();

    int zone;
    int kind;
    int cell;
    ServerState state = ServerState.GONE;
    double size;

    /** Start of the process as it is listed: another start is another process. */
    long since;

    /** Start of the process on this router's clock. */
    long startedAt = SlowStart.LONG_AGO;

    /** Until when others are preferred to it, as an attempt seems not to have reached it. */
    long avoidedUntil;

    /** Share of its memory that was in use at its last report. */
    double memoryShare;

    /** When its load was last probed. */
    long probedAt;

    /** When the last prefill ended here. */
    long lastPrefillAt;

    /** Figure that the selection under way compares; of no meaning after it. */
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

    /** Takes in a load report; what it does not say stays as it was. */
    void update(ServerLoad report) {
        if (!Double.isNaN(report.memoryShare())) {
            memoryShare = report.memoryShare();
        }
    }

    boolean isServing() {
        return state == ServerState.SERVING;
    }
}
