package sorrelhoist.routing;

import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import sorrelhoist.routing.RoutingActions.Follow;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingSettings.Role;

/** The endpoint list from discovery and the data derived from it: serving lists and cells. */
final class EndpointTable {
    /** Token of the timer that repeats a failed call to discovery. */
    static final long DISCOVERY_RETRY_TOKEN = RoutingPolicy.HOUSEKEEPING_TOKEN + 1;

    /**
     * Minimum delay after a failed call to discovery; a random time up to the same length is added.
     */
    private static final long DISCOVERY_RETRY_MICROS = 1_000_000;

    /** Time for which a departed endpoint is kept after the last send to it, as it may return. */
    private static final long DEPARTED_RETENTION_MICROS = PrefixTable.MAX_IDLE_MICROS;

    private final RoutingContext context;
    private final PrefixTable prefixes;
    private final TreeMap<String, Endpoint> byId = new TreeMap<>();
    private final Map<String, Endpoint> byTag = new TreeMap<>();
    private final Map<Role, List<Endpoint>> serving = new EnumMap<>(Role.class);
    private final Map<Integer, Double> decodeSpilloverByCell = new TreeMap<>();

    EndpointTable(RoutingContext context, PrefixTable prefixes) {
        this.context = context;
        this.prefixes = prefixes;
    }

    /** Applies an event from discovery. */
    void update(Members event) {
        if (event.form() == ListUpdateKind.UNAVAILABLE) {
            retryDiscovery();
            return;
        }
        if (event.form() != ListUpdateKind.UPDATE) {
            byId.values().forEach(endpoint -> endpoint.state = ServerState.GONE);
        }
        event.servers().forEach(this::update);
        // Removes departed endpoints, which would otherwise accumulate without bound.
        long from = context.now() - DEPARTED_RETENTION_MICROS;
        byId.values().removeIf(endpoint -> isDeparted(endpoint, from));
        for (Role role : Role.values()) {
            serving.put(role, listServing(role));
        }
        byTag.clear();
        byId.values().forEach(endpoint -> byTag.put(Hash.tag(endpoint.id), endpoint));
        updateDecodeSpillover();
    }

    private void retryDiscovery() {
        if (context.settings().subscribesToDiscovery()) {
            long jitter = context.random().nextLong(DISCOVERY_RETRY_MICROS);
            context.emit(new Timer(DISCOVERY_RETRY_MICROS + jitter, DISCOVERY_RETRY_TOKEN));
        }
    }

    /** Subscribes to changes that discovery pushes. */
    void subscribe() {
        context.emit(new Follow(true));
    }

    private void update(Server listed) {
        Endpoint endpoint = byId.get(listed.id());
        if (endpoint == null || listed.since() != endpoint.since) {
            // A restarted process has lost its cache, and its former health and delays no longer
            // apply.
            prefixes.forgetEndpoint(listed.id());
            endpoint = new Endpoint(listed.id());
            endpoint.startedAt = SlowStart.startedAt(listed.since(), context.now());
            byId.put(listed.id(), endpoint);
        }
        endpoint.update(listed);
    }

    private static boolean isDeparted(Endpoint endpoint, long from) {
        return endpoint.state == ServerState.GONE
                && endpoint.inFlight.count() + endpoint.history.sentAfter(from) == 0;
    }

    private List<Endpoint> listServing(Role role) {
        return byId.values().stream()
                .filter(endpoint -> endpoint.isServing() && roleOf(endpoint) == role)
                .toList();
    }

    /**
     * Computes for each cell the share of its prefills that has to be decoded in other cells: the
     * part by which the cell's share of the zone's prefill size exceeds its share of the zone's
     * decode size. The value is negative if the cell has spare decode capacity.
     */
    private void updateDecodeSpillover() {
        decodeSpilloverByCell.clear();
        for (Endpoint endpoint : byId.values()) {
            if (endpoint.isServing() && !decodeSpilloverByCell.containsKey(endpoint.cell)) {
                double prefills = shareOfZone(Role.READ, endpoint);
                double decodes = shareOfZone(Role.WRITE, endpoint);
                decodeSpilloverByCell.put(
                        endpoint.cell, prefills > 0 ? 1 - decodes / prefills : -1);
            }
        }
    }

    /**
     * {@return the share of a role's total size in an endpoint's zone that belongs to the
     * endpoint's cell}
     */
    private double shareOfZone(Role role, Endpoint at) {
        List<Endpoint> inZone = serving(role, endpoint -> endpoint.zone == at.zone);
        List<Endpoint> inCell =
                inZone.stream().filter(endpoint -> endpoint.cell == at.cell).toList();
        return Endpoints.totalSize(inCell) / Endpoints.totalSize(inZone);
    }

    /** {@return the endpoint with an id, or null} */
    Endpoint byId(String id) {
        return byId.get(id);
    }

    /** {@return the endpoint with a gossip tag, or null} */
    Endpoint byTag(String tag) {
        return byTag.get(tag);
    }

    /** {@return all endpoints, sorted by id} */
    Collection<Endpoint> all() {
        return byId.values();
    }

    /**
     * {@return whether the current process of an endpoint is the one that started at the given
     * time}
     */
    boolean isSameProcess(String id, long since) {
        Endpoint endpoint = byId.get(id);
        return endpoint != null && endpoint.since == since;
    }

    /** {@return the serving endpoints by role; empty before the first list} */
    Map<Role, List<Endpoint>> servingByRole() {
        return serving;
    }

    /** {@return the serving endpoints of a role, sorted by id} */
    List<Endpoint> serving(Role role) {
        return serving.getOrDefault(role, List.of());
    }

    /** {@return the serving endpoints of a role that match a condition, sorted by id} */
    List<Endpoint> serving(Role role, Predicate<Endpoint> condition) {
        return serving(role).stream().filter(condition).toList();
    }

    /** {@return the serving endpoints with the same role as an endpoint} */
    List<Endpoint> servingPeersOf(Endpoint endpoint) {
        return serving(roleOf(endpoint));
    }

    Role roleOf(Endpoint endpoint) {
        return context.settings().serverKinds().get(endpoint.kind).role();
    }

    /** {@return whether at least one endpoint of a role is draining} */
    boolean isDraining(Role role) {
        return byId.values().stream()
                .anyMatch(
                        endpoint ->
                                endpoint.state == ServerState.DRAINING && roleOf(endpoint) == role);
    }

    /**
     * {@return the share of a cell's prefills that has to be decoded in other cells; negative if
     * the cell has spare decode capacity}
     */
    double decodeSpilloverOf(int cell) {
        return decodeSpilloverByCell.getOrDefault(cell, 0.0);
    }
}
