package sorrelhoist.core.members;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sorrelhoist.routing.Routing.ServerState;

/**
 * A planner's roster: what the registry lists, read as engines that serve, drain or are gone, with
 * when each was learned and an epoch that grows with every change.
 *
 * <p>UP serves. OUT_OF_SERVICE and DOWN drain: such a process may still finish what it writes.
 * STARTING and UNKNOWN are not offered before they were UP, and drain afterwards. What is no longer
 * listed is gone.
 */
public final class EndpointTracker {
    /** Metadata keys that an engine registers itself with. */
    public static final String ZONE = "zone";

    /** Its rack: engines with a fast link among them. */
    public static final String RACK = "rack";

    /** Its kind. */
    public static final String KIND = "kind";

    /** Its size. */
    public static final String SIZE = "size";

    /** When its process started, milliseconds since 1970. */
    public static final String STARTED = "started-ms";

    /**
     * A line of the roster.
     *
     * @param entry the engine; its age as of {@code learnedAt}
     * @param learnedAt when this state was learned, this planner's clock
     */
    public record TrackedEndpoint(EngineTable.ListedEngine entry, long learnedAt) {}

    private final Map<String, TrackedEndpoint> endpoints = new LinkedHashMap<>();
    private final List<String> warnings = new ArrayList<>();
    private final long doubtMicros;
    private long epoch;
    private long doubtSince;

    /**
     * Makes an empty book.
     *
     * @param doubtMicros how long the absence of half the engines or more, all at once, is doubted:
     *     a registry that restarted lists nothing, while the engines run. Harm: if they are gone
     *     indeed, requests sent meanwhile fail to connect and are repeated elsewhere
     */
    public EndpointTracker(long doubtMicros) {
        this.doubtMicros = doubtMicros;
    }

    /**
     * Takes the registry's list.
     *
     * @param now this planner's clock, microseconds since 1970
     * @param listed all instances
     * @return lines that changed
     */
    public List<TrackedEndpoint> update(long now, List<RegistryView.Instance> listed) {
        warnings.clear();
        List<TrackedEndpoint> changed = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (RegistryView.Instance i : listed) {
            TrackedEndpoint before = endpoints.get(i.id());
            EngineTable.ListedEngine entry = read(now, i, before);
            if (entry != null) {
                seen.add(i.id());
                note(now, before, entry, changed);
            }
        }
        List<TrackedEndpoint> absent =
                endpoints.values().stream()
                        .filter(
                                l ->
                                        l.entry().state() != ServerState.GONE
                                                && !seen.contains(l.entry().id()))
                        .toList();
        if (doubted(now, absent.size())) {
            warnings.add(absent.size() + " engines vanished at once; this is not believed yet");
        } else {
            absent.forEach(l -> note(now, l, with(l.entry(), ServerState.GONE), changed));
        }
        epoch += changed.isEmpty() ? 0 : 1;
        return changed;
    }

    private boolean doubted(long now, int absent) {
        long had =
                endpoints.values().stream()
                        .filter(l -> l.entry().state() != ServerState.GONE)
                        .count();
        if (absent < 2 || 2L * absent < had) {
            doubtSince = 0;
            return false;
        }
        doubtSince = doubtSince == 0 ? now : doubtSince;
        return now - doubtSince < doubtMicros;
    }

    private void note(
            long now,
            TrackedEndpoint before,
            EngineTable.ListedEngine entry,
            List<TrackedEndpoint> changed) {
        boolean same =
                before != null
                        && with(entry, before.entry().state(), before.entry().uptimeMicros())
                                .equals(before.entry())
                        && before.entry().state() == entry.state();
        if (!same) {
            TrackedEndpoint line = new TrackedEndpoint(entry, now);
            endpoints.put(entry.id(), line);
            changed.add(line);
        }
    }

    private EngineTable.ListedEngine read(
            long now, RegistryView.Instance i, TrackedEndpoint before) {
        Map<String, String> m = i.metadata();
        try {
            long started = Long.parseLong(m.getOrDefault(STARTED, "0"));
            double size = Double.parseDouble(m.getOrDefault(SIZE, "1"));
            if (!m.containsKey(ZONE) || !m.containsKey(KIND) || !(size > 0)) {
                throw new IllegalArgumentException("needs zone, kind and a size above 0");
            }
            ServerState state = state(i.status(), before);
            return state == null
                    ? null
                    : new EngineTable.ListedEngine(
                            i.id(),
                            m.get(ZONE),
                            m.getOrDefault(RACK, ""),
                            m.get(KIND),
                            state,
                            size,
                            started,
                            Math.max(0, now - started * 1000),
                            i.address());
        } catch (IllegalArgumentException e) {
            warnings.add("instance " + i.id() + ": metadata cannot be used: " + e.getMessage());
            return null;
        }
    }

    private static ServerState state(String status, TrackedEndpoint before) {
        return switch (status) {
            case "UP" -> ServerState.SERVING;
            case "DOWN", "OUT_OF_SERVICE" -> ServerState.DRAINING;
            default -> before == null ? null : ServerState.DRAINING;
        };
    }

    private static EngineTable.ListedEngine with(EngineTable.ListedEngine e, ServerState state) {
        return with(e, state, e.uptimeMicros());
    }

    private static EngineTable.ListedEngine with(
            EngineTable.ListedEngine e, ServerState state, long upFor) {
        return new EngineTable.ListedEngine(
                e.id(),
                e.zone(),
                e.rack(),
                e.kind(),
                state,
                e.size(),
                e.incarnation(),
                upFor,
                e.address());
    }

    /** {@return all lines, those gone too} */
    public List<TrackedEndpoint> endpoints() {
        return new ArrayList<>(endpoints.values());
    }

    /** {@return the address of an engine that is not gone, or null} */
    public String address(String id) {
        TrackedEndpoint line = endpoints.get(id);
        return line == null || line.entry().state() == ServerState.GONE
                ? null
                : line.entry().address();
    }

    /** {@return a number that grows with every change} */
    public long epoch() {
        return epoch;
    }

    /** {@return what was wrong with the list taken last} */
    public List<String> warnings() {
        return List.copyOf(warnings);
    }
}
