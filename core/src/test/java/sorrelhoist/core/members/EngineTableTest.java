package sorrelhoist.core.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.members.EngineTable.ListedEngine;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;

/** A router's view of the engines, and the starts of their processes. */
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
    void aStartMovesOnlyWithTheIncarnation() {
        EngineTable table = new EngineTable(List.of("a"), List.of("prefill"));
        long since =
                update(table, 100 * SECOND, engine(ServerState.SERVING, 7, 10 * SECOND)).since();
        assertEquals(90 * SECOND, since);
        // The same process, listed again with an uptime that a slow network has bent.
        assertEquals(
                since,
                update(table, 105 * SECOND, engine(ServerState.DRAINING, 7, 14 * SECOND)).since());
        // It restarted within a second under the same id: later, whatever the uptimes say.
        Server restarted = update(table, 106 * SECOND, engine(ServerState.SERVING, 8, 30 * SECOND));
        assertTrue(restarted.since() > since);
        // Late news of the process before says nothing of the one that runs.
        assertEquals(
                List.of(), table.update(107 * SECOND, List.of(engine(ServerState.GONE, 7, 0))));
    }

    @Test
    void enginesOfUnknownZonesOrKindsAreReportedAndLeftOut() {
        EngineTable table = new EngineTable(List.of("b"), List.of("prefill"));
        assertEquals(List.of(), table.update(0, List.of(engine(ServerState.SERVING, 1, 0))));
        assertTrue(table.warnings().get(0).contains("zone \"a\""));
    }
}
