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
 * The list of engines that a planner derives from the registry: which engines serve, drain or are
 * gone, when each state was learned, and an epoch that increases with every change.
 *
 * <p>UP means serving. OUT_OF_SERVICE and DOWN mean draining, as such a process may still finish
 * its answers. STARTING and UNKNOWN engines are not listed until they have been UP, and are
 * draining afterwards. An engine that the registry no longer lists is gone.
 */
public final class EndpointTracker {
    private static final long MICROS_PER_MILLI = 1000;

    /**
     * An engine and the time at which its state was learned.
     *
     * @param engine the engine, with its uptime at {@code learnedAt}
     * @param learnedAt when its state was learned, on this planner's clock, in microseconds since
     *     1970
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
     * @param massRemovalGraceMicros how long the simultaneous absence of at least half the engines
     *     (two or more) is ignored, in microseconds. A restarted registry lists nothing although
     *     the engines are running; if the engines are really gone, requests sent meanwhile fail to
     *     connect and are retried elsewhere
     */
    public EndpointTracker(long massRemovalGraceMicros) {
        this.massRemovalGraceMicros = massRemovalGraceMicros;
    }

    /**
     * Applies the registry's list.
     *
     * @param now the time on this planner's clock, in microseconds since 1970
     * @param listed all instances
     * @return the engines that changed
     */
    public List<TrackedEndpoint> update(long now, List<RegistryView.Instance> listed) {
        warnings.clear();
        List<TrackedEndpoint> changed = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (RegistryView.Instance instance : listed) {
            TrackedEndpoint before = endpoints.get(instance.id());
            ListedEngine engine = toListedEngine(now, instance, before);
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
        if (isUnconfirmedMassRemoval(now, absent.size())) {
            warnings.add(
                    absent.size() + " engines vanished at once; keeping them for a grace period");
            return;
        }
        for (TrackedEndpoint endpoint : absent) {
            track(now, endpoint, withState(endpoint.engine(), ServerState.GONE), changed);
        }
    }

    private boolean isUnconfirmedMassRemoval(long now, int absent) {
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
        if (before != null && isUnchanged(before.engine(), engine)) {
            return;
        }
        TrackedEndpoint endpoint = new TrackedEndpoint(engine, now);
        endpoints.put(engine.id(), endpoint);
        changed.add(endpoint);
    }

    /** Compares two entries without their uptimes, which increase without a change of state. */
    private static boolean isUnchanged(ListedEngine before, ListedEngine now) {
        return withUptime(now, before.uptimeMicros()).equals(before);
    }

    private ListedEngine toListedEngine(
            long now, RegistryView.Instance instance, TrackedEndpoint before) {
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
            warnings.add("instance " + instance.id() + ": invalid metadata: " + e.getMessage());
            return null;
        }
    }

    /** {@return the state for a registry status, or null if the engine is not listed yet} */
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

    /** {@return all engines, including those that are gone; a copy} */
    public List<TrackedEndpoint> endpoints() {
        return new ArrayList<>(endpoints.values());
    }

    /** {@return the address of an engine, or null if it is unknown or gone} */
    public String address(String id) {
        TrackedEndpoint endpoint = endpoints.get(id);
        return endpoint == null || endpoint.isGone() ? null : endpoint.engine().address();
    }

    /** {@return a number that increases with every change} */
    public long epoch() {
        return epoch;
    }

    /** {@return operator-facing warnings about the list applied last; a copy} */
    public List<String> warnings() {
        return List.copyOf(warnings);
    }
}
