package sorrelhoist.core.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.members.EngineTable.ListedEngine;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;

/** Tests the engines as a router sees them, and the start times of their processes. */
class EngineTableTest {
    private static final long SECOND = 1_000_000;

    private static ListedEngine engine(ServerState state, long incarnation, long uptimeMicros) {
        return new ListedEngine(
                "e", "a", "r", "prefill", state, 1, incarnation, uptimeMicros, "127.0.0.1:1");
    }

    private static Server update(EngineTable table, long now, ListedEngine engine) {
        return table.update(now, List.of(engine)).get(0);
    }

    @Test
    void startTimeChangesOnlyWithIncarnation() {
        EngineTable table = new EngineTable(List.of("a"), List.of("prefill"));
        long since =
                update(table, 100 * SECOND, engine(ServerState.SERVING, 7, 10 * SECOND)).since();
        assertEquals(90 * SECOND, since);
        // The same process is listed again with an uptime distorted by a slow network.
        assertEquals(
                since,
                update(table, 105 * SECOND, engine(ServerState.DRAINING, 7, 14 * SECOND)).since());
        // The process restarted within a second under the same id, so its start is later whatever
        // the uptimes say.
        Server restarted = update(table, 106 * SECOND, engine(ServerState.SERVING, 8, 30 * SECOND));
        assertTrue(restarted.since() > since);
        // A delayed entry of the replaced process does not apply to the current one.
        assertEquals(
                List.of(), table.update(107 * SECOND, List.of(engine(ServerState.GONE, 7, 0))));
    }

    @Test
    void enginesOfUnknownZonesOrKindsAreReportedAndSkipped() {
        EngineTable table = new EngineTable(List.of("b"), List.of("prefill"));
        assertEquals(List.of(), table.update(0, List.of(engine(ServerState.SERVING, 1, 0))));
        assertTrue(table.warnings().get(0).contains("zone \"a\""));
    }
}
