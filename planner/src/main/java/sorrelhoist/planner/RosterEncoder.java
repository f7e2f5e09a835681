package sorrelhoist.planner;

import java.util.List;
import sorrelhoist.core.members.EndpointTracker;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.protocol.plan.PlanEvent;
import sorrelhoist.protocol.plan.Roster;
import sorrelhoist.protocol.plan.RosterEntry;

/** Encodes endpoint lists as events for edges. */
final class RosterEncoder {
    private static final long MICROS_PER_MILLI = 1000;

    private RosterEncoder() {}

    /** Returns the event for an endpoint list that is not available yet. */
    static PlanEvent unavailable() {
        return PlanEvent.of(new Roster(Roster.UNAVAILABLE, List.of(), 0, 0));
    }

    /** Returns the event with all endpoints. */
    static PlanEvent complete(EndpointTracker endpoints, long now) {
        return PlanEvent.of(
                new Roster(
                        Roster.COMPLETE,
                        entries(endpoints.endpoints(), now),
                        endpoints.epoch(),
                        0));
    }

    /** Returns the event with the changed endpoints and the age of the latest change. */
    static PlanEvent update(List<EndpointTracker.TrackedEndpoint> changed, long epoch, long now) {
        long learnedAt =
                changed.stream()
                        .mapToLong(EndpointTracker.TrackedEndpoint::learnedAt)
                        .max()
                        .orElse(now);
        return PlanEvent.of(
                new Roster(
                        Roster.UPDATE, entries(changed, now), epoch, Math.max(0, now - learnedAt)));
    }

    private static List<RosterEntry> entries(
            List<EndpointTracker.TrackedEndpoint> endpoints, long now) {
        return endpoints.stream().map(endpoint -> entry(endpoint.engine(), now)).toList();
    }

    private static RosterEntry entry(EngineTable.ListedEngine engine, long now) {
        long uptimeMicros =
                engine.incarnation() > 0
                        ? Math.max(0, now - engine.incarnation() * MICROS_PER_MILLI)
                        : engine.uptimeMicros();
        return new RosterEntry(
                engine.id(),
                engine.zone(),
                engine.rack(),
                engine.kind(),
                engine.state().ordinal(),
                engine.size(),
                engine.incarnation(),
                uptimeMicros,
                engine.address());
    }
}
