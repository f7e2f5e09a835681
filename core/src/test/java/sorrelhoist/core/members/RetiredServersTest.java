package sorrelhoist.core.members;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingEvents.ServerState;

class RetiredServersTest {
    private static final int MAX_SERVERS = 8192;
    private final RetiredServers retired = new RetiredServers();

    private ServerState report(String server, long startedAt, ServerState state, long version) {
        return retired.stateOf(server, startedAt, state, version);
    }

    @Test
    void theSourceThatReportedARetirementMayTakeItBack() {
        retired.sourceChanged(0, 5);
        report("a", 1, ServerState.GONE, 5);
        assertEquals(ServerState.SERVING, report("a", 1, ServerState.SERVING, 6));
        retired.sourceChanged(6, 900);
        assertEquals(ServerState.SERVING, report("a", 1, ServerState.SERVING, 900));
        assertEquals(0, retired.size());
    }

    @Test
    void anotherSourceMayTakeItBackOnlyAboveTheVersionsKnownBeforeIt() {
        retired.sourceChanged(0, 5);
        report("a", 1, ServerState.DRAINING, 5);
        retired.sourceChanged(5, 4);
        assertEquals(ServerState.DRAINING, report("a", 1, ServerState.SERVING, 4));
        assertEquals(ServerState.DRAINING, report("a", 1, ServerState.SERVING, 5));
        assertEquals(ServerState.SERVING, report("a", 1, ServerState.SERVING, 6));
        report("a", 1, ServerState.DRAINING, 7);
        retired.sourceChanged(7, 100);
        assertEquals(ServerState.DRAINING, report("a", 1, ServerState.SERVING, 100));
        assertEquals(ServerState.DRAINING, report("a", 1, ServerState.SERVING, 101));
        assertEquals(ServerState.SERVING, report("a", 2, ServerState.SERVING, 102));
    }

    @Test
    void aSourceThatHasCaughtUpWithARetirementMayTakeItBack() {
        retired.sourceChanged(0, 5);
        report("a", 1, ServerState.GONE, 5);
        retired.sourceChanged(5, 100);
        assertEquals(ServerState.GONE, report("a", 1, ServerState.DRAINING, 100));
        assertEquals(ServerState.GONE, report("a", 1, ServerState.GONE, 101));
        assertEquals(ServerState.SERVING, report("a", 1, ServerState.SERVING, 102));
    }

    @Test
    void theAbsenceFromAListThatIsBehindProvesNothing() {
        retired.sourceChanged(0, 5);
        retired.absent("a", 1, 5);
        retired.sourceChanged(5, 4);
        retired.absent("b", 1, 4);
        retired.sourceChanged(4, 3);
        assertEquals(ServerState.GONE, report("a", 1, ServerState.SERVING, 3));
        assertEquals(ServerState.SERVING, report("b", 1, ServerState.SERVING, 3));
    }

    /** Guards against a memory of servers that grows for as long as the process runs. */
    @Test
    void theServersThatRetiredFirstAreForgottenFirst() {
        retired.sourceChanged(0, 1);
        for (int i = 0; i <= MAX_SERVERS; i++) {
            report("s" + i, 1, ServerState.GONE, i + 1);
        }
        assertEquals(MAX_SERVERS, retired.size());
        retired.sourceChanged(MAX_SERVERS, 1);
        assertEquals(ServerState.SERVING, report("s0", 1, ServerState.SERVING, 1));
        assertEquals(ServerState.GONE, report("s1", 1, ServerState.SERVING, 1));
    }
}
