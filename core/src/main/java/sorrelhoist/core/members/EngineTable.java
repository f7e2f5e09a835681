package sorrelhoist.core.members;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;

/**
 * A router's own view of the engines: turns names of zones, racks and kinds into the numbers that
 * the routing policy takes, and uptimes into times of this router's clock. An engine whose zone or
 * kind this router's settings lack is left out, with a warning.
 *
 * <p>The policy takes a later start for a restart, so a start must not drift: it is fixed when a
 * process is first heard of, and moves only with the process's incarnation.
 */
public final class EngineTable {
    /**
     * An engine as a planner lists it.
     *
     * @param id its name
     * @param zone its zone's name
     * @param rack its rack's name
     * @param kind its kind's name
     * @param state as listed
     * @param size for comparison within its role
     * @param incarnation of its process; a restart has a higher one
     * @param uptimeMicros since its start, in microseconds
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

    /** Stands for the start and the incarnation of an engine that is not known. */
    private static final long UNKNOWN = Long.MIN_VALUE;

    private static final int NOT_CONFIGURED = -1;

    /** An engine's process; its start is on this router's clock. */
    private record EngineProcess(long incarnation, long startedAt, String address) {}

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Integer> rackNumbers = new HashMap<>();
    private final Map<String, EngineProcess> processes = new HashMap<>();
    private final List<String> warnings = new ArrayList<>();

    /**
     * Creates an empty table.
     *
     * @param zones names, by index
     * @param kinds names, by index
     */
    public EngineTable(List<String> zones, List<String> kinds) {
        this.zones = List.copyOf(zones);
        this.kinds = List.copyOf(kinds);
    }

    /**
     * Takes what a planner lists.
     *
     * @param now this router's clock, in microseconds
     * @param entries as listed
     * @return the same for the routing policy, without what it cannot know
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
        // Late news of a process that was replaced says nothing of the one that runs.
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
                        + "\" is not in this edge's settings; it gets no requests");
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

    /** {@return what was wrong with the entries taken last, for operators} */
    public List<String> warnings() {
        return List.copyOf(warnings);
    }

    /** {@return an engine's address, or null} */
    public String address(String id) {
        EngineProcess process = processes.get(id);
        return process == null ? null : process.address();
    }

    /** {@return the incarnation of an engine's process, or Long.MIN_VALUE} */
    public long incarnation(String id) {
        EngineProcess process = processes.get(id);
        return process == null ? UNKNOWN : process.incarnation();
    }

    /** {@return when an engine's process started, on this router's clock, or Long.MIN_VALUE} */
    public long startedAt(String id) {
        EngineProcess process = processes.get(id);
        return process == null ? UNKNOWN : process.startedAt();
    }
}
