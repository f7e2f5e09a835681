package sorrelhoist.planner;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.members.EndpointTracker.TrackedEndpoint;
import sorrelhoist.core.members.EngineTable.ListedEngine;
import sorrelhoist.protocol.plan.Roster;
import sorrelhoist.routing.RoutingEvents.ServerState;

class RosterEncoderTest {
    private static final long NOW = 50_000_000;

    private static TrackedEndpoint endpoint(
            long incarnationMillis, long uptimeMicros, long learnedAt) {
        return new TrackedEndpoint(
                new ListedEngine(
                        "e1",
                        "north",
                        "rack1",
                        "prefill",
                        ServerState.DRAINING,
                        1,
                        incarnationMillis,
                        uptimeMicros,
                        "127.0.0.1:1"),
                learnedAt);
    }

    private static Roster update(TrackedEndpoint... changed) {
        return RosterEncoder.update(List.of(changed), 3, NOW).roster();
    }

    @Test
    void anUpdateHasTheAgeOfItsLatestChange() {
        Roster roster = update(endpoint(0, 5, NOW - 9_000), endpoint(0, 5, NOW - 4_000));
        assertEquals(Roster.UPDATE, roster.form());
        assertEquals(4_000, roster.ageMicros());
        assertEquals(3, roster.epoch());
        assertEquals(ServerState.DRAINING.ordinal(), roster.entries().get(0).state());
    }

    @Test
    void uptimeIsDerivedFromTheIncarnationIfGiven() {
        assertEquals(20_000_000, update(endpoint(30_000, 5, NOW)).entries().get(0).uptimeMicros());
        assertEquals(5, update(endpoint(0, 5, NOW)).entries().get(0).uptimeMicros());
        assertEquals(0, update(endpoint(60_000, 5, NOW)).entries().get(0).uptimeMicros());
    }

    @Test
    void unknownListIsSentAsUnavailable() {
        Roster roster = RosterEncoder.unavailable().roster();
        assertEquals(Roster.UNAVAILABLE, roster.form());
        assertEquals(List.of(), roster.entries());
    }
}
