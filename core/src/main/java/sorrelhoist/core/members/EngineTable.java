package sorrelhoist.core.members;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.routing.Routing.Server;
import sorrelhoist.routing.Routing.ServerState;

/**
 * An edge's own view of the roster: turns names of zones, racks and kinds into the numbers that
 * {@code Decide} takes, and ages into times of its own clock. An engine whose zone or kind this
 * edge's settings lack is left out and said.
 *
 * <p>A start's time must not wander: {@code Decide} takes a later one for a restart. So it is fixed
 * when a process is first heard of, and moves only with the process's incarnation.
 */
public final class EngineTable {
    /**
     * An engine as it is told.
     *
     * @param id its name
     * @param zone its zone's name
     * @param rack its rack's name
     * @param kind its kind's name
     * @param state as listed
     * @param size for comparison within its role
     * @param incarnation of its process; a restart has a higher one
     * @param uptimeMicros since its start
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

    private record Known(long incarnation, long since, String address) {}

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Integer> racks = new HashMap<>();
    private final Map<String, Known> known = new HashMap<>();
    private final List<String> warnings = new ArrayList<>();

    /**
     * Makes an empty table.
     *
     * @param zones names, by index
     * @param kinds names, by index
     */
    public EngineTable(List<String> zones, List<String> kinds) {
        this.zones = List.copyOf(zones);
        this.kinds = List.copyOf(kinds);
    }

    /**
     * Takes entries.
     *
     * @param now this edge's clock
     * @param entries as told
     * @return the same for {@code Decide}, those left out that it can't know
     */
    public List<Server> update(long now, List<ListedEngine> entries) {
        warnings.clear();
        List<Server> servers = new ArrayList<>();
        for (ListedEngine e : entries) {
            int zone = zones.indexOf(e.zone());
            int kind = kinds.indexOf(e.kind());
            if (zone < 0 || kind < 0) {
                warnings.add(
                        "engine "
                                + e.id()
                                + ": "
                                + (zone < 0 ? "zone \"" + e.zone() : "kind \"" + e.kind())
                                + "\" is not in this edge's settings; it gets no requests");
                continue;
            }
            Known before = known.get(e.id());
            long since;
            if (before != null && e.incarnation() <= before.incarnation()) {
                since = before.since();
            } else {
                long told = Math.max(1, now - e.uptimeMicros());
                since = before == null ? told : Math.max(told, before.since() + 1);
            }
            // Late word of a process that was replaced meanwhile says nothing of the one that runs.
            boolean old = before != null && e.incarnation() < before.incarnation();
            if (!old) {
                known.put(e.id(), new Known(e.incarnation(), since, e.address()));
                int rack = racks.computeIfAbsent(e.zone() + "/" + e.rack(), r -> racks.size());
                servers.add(new Server(e.id(), zone, kind, rack, e.state(), e.size(), since));
            }
        }
        return servers;
    }

    /** {@return what was wrong with the entries taken last} */
    public List<String> warnings() {
        return List.copyOf(warnings);
    }

    /** {@return an engine's address, or null} */
    public String address(String id) {
        Known k = known.get(id);
        return k == null ? null : k.address();
    }

    /** {@return the incarnation of an engine's process, or Long.MIN_VALUE} */
    public long incarnation(String id) {
        Known k = known.get(id);
        return k == null ? Long.MIN_VALUE : k.incarnation();
    }

    /** {@return when an engine's process started, on this edge's clock, or Long.MIN_VALUE} */
    public long startedAt(String id) {
        Known k = known.get(id);
        return k == null ? Long.MIN_VALUE : k.since();
    }
}
