package sorrelhoist.core.members;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;

/**
 * The engines as one router sees them. Maps the names of zones, racks and kinds to the numbers that
 * the routing policy uses, and uptimes to times on this router's clock. Leaves out engines whose
 * zone or kind is not in this router's settings, with a warning.
 *
 * <p>The routing policy treats a later start as a restart, so the start time must not drift: it is
 * computed when a process is first listed, and changes only with the incarnation of the process.
 */
public final class EngineTable {
    /**
     * An engine as listed by a planner.
     *
     * @param id the engine's id
     * @param zone the name of its zone
     * @param rack the name of its rack
     * @param kind the name of its kind
     * @param state its listed state
     * @param size its relative size, for comparison with engines of the same role
     * @param incarnation identifies its process; a restarted process has a higher one
     * @param uptimeMicros the time since its start, in microseconds
     * @param address host:port
     */
    public record ListedEngine(
            String id,
            String zone,
            String rack,
            String kind,
            ServerState state,
            double size,
            long incarnation,
            long uptimeMicros,
            String address) {}

    /** Stands for the start time and the incarnation of an unknown engine. */
    private static final long UNKNOWN = Long.MIN_VALUE;

    private static final int NOT_CONFIGURED = -1;

    /** The process of an engine; {@code startedAt} is on this router's clock. */
    private record EngineProcess(long incarnation, long startedAt, String address) {}

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Integer> rackNumbers = new HashMap<>();
    private final Map<String, EngineProcess> processes = new HashMap<>();
    private final List<String> warnings = new ArrayList<>();

    /**
     * Creates an empty table.
     *
     * @param zones the names of zones, by index
     * @param kinds the names of kinds, by index
     */
    public EngineTable(List<String> zones, List<String> kinds) {
        this.zones = List.copyOf(zones);
        this.kinds = List.copyOf(kinds);
    }

    /**
     * Applies the entries listed by a planner.
     *
     * @param now the time on this router's clock, in microseconds
     * @param entries the listed engines
     * @return the engines for the routing policy, without those of an unconfigured zone or kind and
     *     those of a replaced process
     */
    public List<Server> update(long now, List<ListedEngine> entries) {
        warnings.clear();
        List<Server> servers = new ArrayList<>();
        for (ListedEngine engine : entries) {
            toServer(now, engine).ifPresent(servers::add);
        }
        return servers;
    }

    private Optional<Server> toServer(long now, ListedEngine engine) {
        int zone = zones.indexOf(engine.zone());
        int kind = kinds.indexOf(engine.kind());
        if (zone == NOT_CONFIGURED || kind == NOT_CONFIGURED) {
            warnNotConfigured(engine, zone);
            return Optional.empty();
        }
        EngineProcess before = processes.get(engine.id());
        // A delayed entry of a replaced process does not apply to the current one.
        if (before != null && engine.incarnation() < before.incarnation()) {
            return Optional.empty();
        }
        long startedAt = startedAt(now, engine, before);
        processes.put(
                engine.id(), new EngineProcess(engine.incarnation(), startedAt, engine.address()));
        return Optional.of(
                new Server(
                        engine.id(),
                        zone,
                        kind,
                        rackNumber(engine),
                        engine.state(),
                        engine.size(),
                        startedAt));
    }

    private void warnNotConfigured(ListedEngine engine, int zone) {
        String missing =
                zone == NOT_CONFIGURED ? "zone \"" + engine.zone() : "kind \"" + engine.kind();
        warnings.add(
                "engine "
                        + engine.id()
                        + ": "
                        + missing
                        + "\" is not in this router's settings; the engine gets no requests");
    }

    private static long startedAt(long now, ListedEngine engine, EngineProcess before) {
        if (before != null && engine.incarnation() == before.incarnation()) {
            return before.startedAt();
        }
        long listed = Math.max(1, now - engine.uptimeMicros());
        return before == null ? listed : Math.max(listed, before.startedAt() + 1);
    }

    private int rackNumber(ListedEngine engine) {
        String rack = engine.zone() + "/" + engine.rack();
        return rackNumbers.computeIfAbsent(rack, name -> rackNumbers.size());
    }

    /** {@return operator-facing warnings about the entries applied last; a copy} */
    public List<String> warnings() {
        return List.copyOf(warnings);
    }

    /** {@return the address of an engine, or null if it is unknown} */
    public String address(String id) {
        EngineProcess process = processes.get(id);
        return process == null ? null : process.address();
    }

    /** {@return the incarnation of an engine's process, or Long.MIN_VALUE if it is unknown} */
    public long incarnation(String id) {
        EngineProcess process = processes.get(id);
        return process == null ? UNKNOWN : process.incarnation();
    }

    /**
     * {@return when an engine's process started, on this router's clock in microseconds, or
     * Long.MIN_VALUE if it is unknown}
     */
    public long startedAt(String id) {
        EngineProcess process = processes.get(id);
        return process == null ? UNKNOWN : process.startedAt();
    }
}
