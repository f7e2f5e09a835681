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

/**
 * The endpoint list as discovery gives it, and what is derived from it: serving lists and cells.
 */
final class EndpointTable {
    /** Token of the timer after which discovery is asked again. */
    static final long DISCOVERY_RETRY_TOKEN = RoutingPolicy.HOUSEKEEPING_TOKEN + 1;

    /** Pause after a failed call to discovery; a random part of it more. */
    private static final long DISCOVERY_RETRY_MICROS = 1_000_000;

    /** An endpoint that left is kept while a send to it is younger: it may be back. */
    private static final long DEPARTED_KEPT_MICROS = PrefixTable.MAX_IDLE_MICROS;

    private final RoutingContext context;
    private final PrefixTable prefixes;
    private final TreeMap<String, Endpoint> byId = new TreeMap<>();
    private final Map<String, Endpoint> byTag = new TreeMap<>();
    private final Map<Role, List<Endpoint>> serving = new EnumMap<>(Role.class);
    private final Map<Integer, Double> spillByCell = new TreeMap<>();

    EndpointTable(RoutingContext context, PrefixTable prefixes) {
        this.context = context;
        this.prefixes = prefixes;
    }

    /** Takes in what discovery says. */
    void update(Members event) {
        if (event.form() == ListUpdateKind.UNAVAILABLE) {
            retryDiscovery();
            return;
        }
        if (event.form() != ListUpdateKind.UPDATE) {
            byId.values().forEach(endpoint -> endpoint.state = ServerState.GONE);
        }
        event.servers().forEach(this::update);
        // Those that left for good would fill the tables.
        long from = context.now() - DEPARTED_KEPT_MICROS;
        byId.values().removeIf(endpoint -> isDeparted(endpoint, from));
        for (Role role : Role.values()) {
            serving.put(role, listServing(role));
        }
        byTag.clear();
        byId.values().forEach(endpoint -> byTag.put(Hash.tag(endpoint.id), endpoint));
        measureCells();
    }

    private void retryDiscovery() {
        if (context.settings().subscribesToDiscovery()) {
            long jitter = context.random().nextLong(DISCOVERY_RETRY_MICROS);
            context.emit(new Timer(DISCOVERY_RETRY_MICROS + jitter, DISCOVERY_RETRY_TOKEN));
        }
    }

    /** Asks discovery to push changes. */
    void subscribe() {
        context.emit(new Follow(true));
    }

    private void update(Server listed) {
        Endpoint endpoint = byId.get(listed.id());
        if (endpoint == null || listed.since() != endpoint.since) {
            // A restart cleared what the process had cached, and whatever ailed it.
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
     * Finds the part of a cell's prefills beyond its decoders' part of their zone; below 0 where it
     * has capacity.
     */
    private void measureCells() {
        spillByCell.clear();
        for (Endpoint endpoint : byId.values()) {
            if (endpoint.isServing() && !spillByCell.containsKey(endpoint.cell)) {
                double prefills = shareOfZone(Role.READ, endpoint);
                double decodes = shareOfZone(Role.WRITE, endpoint);
                spillByCell.put(endpoint.cell, prefills > 0 ? 1 - decodes / prefills : -1);
            }
        }
    }

    /** {@return the share of a role's size in an endpoint's zone that stands in its cell} */
    private double shareOfZone(Role role, Endpoint at) {
        List<Endpoint> inZone = serving(role, endpoint -> endpoint.zone == at.zone);
        List<Endpoint> inCell =
                inZone.stream().filter(endpoint -> endpoint.cell == at.cell).toList();
        return Endpoints.totalSize(inCell) / Endpoints.totalSize(inZone);
    }

    /** {@return the endpoint with this id, or null} */
    Endpoint byId(String id) {
        return byId.get(id);
    }

    /** {@return the endpoint with this short name, or null} */
    Endpoint byTag(String tag) {
        return byTag.get(tag);
    }

    /** {@return all endpoints, by id} */
    Collection<Endpoint> all() {
        return byId.values();
    }

    /** {@return whether the process of an endpoint is still the one that started then} */
    boolean isSameProcess(String id, long since) {
        Endpoint endpoint = byId.get(id);
        return endpoint != null && endpoint.since == since;
    }

    /** {@return the roles for which a list was given, each with its serving endpoints} */
    Map<Role, List<Endpoint>> servingByRole() {
        return serving;
    }

    /** {@return the serving endpoints of a role, by id} */
    List<Endpoint> serving(Role role) {
        return serving.getOrDefault(role, List.of());
    }

    /** {@return the serving endpoints of a role that match, by id} */
    List<Endpoint> serving(Role role, Predicate<Endpoint> condition) {
        return serving(role).stream().filter(condition).toList();
    }

    /** {@return the serving endpoints of an endpoint's role} */
    List<Endpoint> servingPeersOf(Endpoint endpoint) {
        return serving(roleOf(endpoint));
    }

    Role roleOf(Endpoint endpoint) {
        return context.settings().serverKinds().get(endpoint.kind).role();
    }

    /** {@return whether an endpoint of a role is draining} */
    boolean isDraining(Role role) {
        return byId.values().stream()
                .anyMatch(
                        endpoint ->
                                endpoint.state == ServerState.DRAINING && roleOf(endpoint) == role);
    }

    /**
     * {@return the part of a cell's prefills that has to be decoded elsewhere; below 0: it takes
     * some}
     */
    double spillOf(int cell) {
        return spillByCell.getOrDefault(cell, 0.0);
    }
}
