package sorrelhoist.core.members;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sorrelhoist.core.members.EngineTable.ListedEngine;
import sorrelhoist.routing.RoutingEvents.ServerState;

/**
 * A planner's list of engines: what the registry lists, read as engines that serve, drain or are
 * gone, with when each state was learned and an epoch that grows with every change.
 *
 * <p>UP serves. OUT_OF_SERVICE and DOWN drain: such a process may still finish its answers.
 * STARTING and UNKNOWN are not listed before they were UP, and drain afterwards. What the registry
 * lists no longer is gone.
 */
public final class EndpointTracker {
    private static final long MICROS_PER_MILLI = 1000;

    /**
     * An engine and when its state was learned.
     *
     * @param engine the engine; its uptime as of {@code learnedAt}
     * @param learnedAt on this planner's clock, microseconds since 1970
     */
    public record TrackedEndpoint(ListedEngine engine, long learnedAt) {
        private boolean isGone() {
            return engine.state() == ServerState.GONE;
        }
    }

    private final Map<String, TrackedEndpoint> endpoints = new LinkedHashMap<>();
    private final List<String> warnings = new ArrayList<>();
    private final long massRemovalGraceMicros;
    private long epoch;
    private long massRemovalSince;

    /**
     * Creates a tracker without engines.
     *
     * @param massRemovalGraceMicros how long the absence of half the engines or more, all at once,
     *     is not believed: a registry that restarted lists nothing, while the engines run. If they
     *     are gone indeed, requests sent meanwhile fail to connect and are retried elsewhere
     */
    public EndpointTracker(long massRemovalGraceMicros) {
        this.massRemovalGraceMicros = massRemovalGraceMicros;
    }

    /**
     * Takes the registry's list.
     *
     * @param now this planner's clock, microseconds since 1970
     * @param listed all instances
     * @return engines that changed
     */
    public List<TrackedEndpoint> update(long now, List<RegistryView.Instance> listed) {
        warnings.clear();
        List<TrackedEndpoint> changed = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (RegistryView.Instance instance : listed) {
            TrackedEndpoint before = endpoints.get(instance.id());
            ListedEngine engine = read(now, instance, before);
            if (engine != null) {
                present.add(instance.id());
                track(now, before, engine, changed);
            }
        }
        removeAbsent(now, present, changed);
        epoch += changed.isEmpty() ? 0 : 1;
        return changed;
    }

    private void removeAbsent(long now, Set<String> present, List<TrackedEndpoint> changed) {
        List<TrackedEndpoint> absent =
                endpoints.values().stream()
                        .filter(endpoint -> !endpoint.isGone())
                        .filter(endpoint -> !present.contains(endpoint.engine().id()))
                        .toList();
        if (isDoubtfulRemoval(now, absent.size())) {
            warnings.add(absent.size() + " engines vanished at once; this is not believed yet");
            return;
        }
        for (TrackedEndpoint endpoint : absent) {
            track(now, endpoint, withState(endpoint.engine(), ServerState.GONE), changed);
        }
    }

    private boolean isDoubtfulRemoval(long now, int absent) {
        long present = endpoints.values().stream().filter(endpoint -> !endpoint.isGone()).count();
        if (absent < 2 || 2L * absent < present) {
            massRemovalSince = 0;
            return false;
        }
        massRemovalSince = massRemovalSince == 0 ? now : massRemovalSince;
        return now - massRemovalSince < massRemovalGraceMicros;
    }

    private void track(
            long now, TrackedEndpoint before, ListedEngine engine, List<TrackedEndpoint> changed) {
        if (before != null && isSame(before.engine(), engine)) {
            return;
        }
        TrackedEndpoint endpoint = new TrackedEndpoint(engine, now);
        endpoints.put(engine.id(), endpoint);
        changed.add(endpoint);
    }

    /** The uptime grows by itself and is no change. */
    private static boolean isSame(ListedEngine before, ListedEngine now) {
        return withUptime(now, before.uptimeMicros()).equals(before);
    }

    private ListedEngine read(long now, RegistryView.Instance instance, TrackedEndpoint before) {
        try {
            EngineMetadata metadata = EngineMetadata.parse(instance.metadata());
            ServerState state = state(instance.status(), before);
            if (state == null) {
                return null;
            }
            long startedMicros = metadata.startedMillis() * MICROS_PER_MILLI;
            return new ListedEngine(
                    instance.id(),
                    metadata.zone(),
                    metadata.rack(),
                    metadata.kind(),
                    state,
                    metadata.size(),
                    metadata.startedMillis(),
                    Math.max(0, now - startedMicros),
                    instance.address());
        } catch (IllegalArgumentException e) {
            warnings.add(
                    "instance " + instance.id() + ": metadata cannot be used: " + e.getMessage());
            return null;
        }
    }

    /** {@return the state that a status stands for, or null for one that is not listed yet} */
    private static ServerState state(String status, TrackedEndpoint before) {
        return switch (status) {
            case "UP" -> ServerState.SERVING;
            case "DOWN", "OUT_OF_SERVICE" -> ServerState.DRAINING;
            default -> before == null ? null : ServerState.DRAINING;
        };
    }

    private static ListedEngine withState(ListedEngine engine, ServerState state) {
        return new ListedEngine(
                engine.id(),
                engine.zone(),
                engine.rack(),
                engine.kind(),
                state,
                engine.size(),
                engine.incarnation(),
                engine.uptimeMicros(),
                engine.address());
    }

    private static ListedEngine withUptime(ListedEngine engine, long uptimeMicros) {
        return new ListedEngine(
                engine.id(),
                engine.zone(),
                engine.rack(),
                engine.kind(),
                engine.state(),
                engine.size(),
                engine.incarnation(),
                uptimeMicros,
                engine.address());
    }

    /** {@return all engines, those gone too} */
    public List<TrackedEndpoint> endpoints() {
        return new ArrayList<>(endpoints.values());
    }

    /** {@return the address of an engine that is not gone, or null} */
    public String address(String id) {
        TrackedEndpoint endpoint = endpoints.get(id);
        return endpoint == null || endpoint.isGone() ? null : endpoint.engine().address();
    }

    /** {@return a number that grows with every change} */
    public long epoch() {
        return epoch;
    }

    /** {@return what was wrong with the list taken last, for operators} */
    public List<String> warnings() {
        return List.copyOf(warnings);
    }
}
