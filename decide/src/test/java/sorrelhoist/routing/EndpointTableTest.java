package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingSettings.Role;

class EndpointTableTest {
    private final PolicyParts parts = new PolicyParts();
    private final EndpointTable endpoints = parts.endpoints;

    @Test
    void aRestartedProcessIsAnotherEndpointAndHasNothingCached() {
        Endpoint before = parts.endpoint("r1");
        parts.prefixes.addHolder("pre", 100, before);
        Server listed =
                Fixtures.withState(Fixtures.prefillServer("r1", 0), ServerState.SERVING, SECOND);
        endpoints.update(new Members(ListUpdateKind.UPDATE, List.of(listed)));
        Endpoint after = parts.endpoint("r1");
        assertFalse(before == after);
        assertTrue(parts.prefixes.find("pre").holders.isEmpty());
        assertTrue(endpoints.isSameProcess("r1", SECOND) && !endpoints.isSameProcess("r1", 0));
        assertSame(after, endpoints.byTag(Hash.tag("r1")));
    }

    @Test
    void aCompleteListRemovesMissingEndpointsAndAFailedCallRemovesNone() {
        endpoints.update(new Members(ListUpdateKind.UNAVAILABLE, List.of()));
        assertEquals(4, endpoints.serving(Role.READ).size());
        parts.start(parts.request(1, "a", null, 10, 0), "r2", true, 1);
        List<Server> one = List.of(Fixtures.prefillServer("r1", 0));
        endpoints.update(new Members(ListUpdateKind.COMPLETE, one));
        assertEquals(List.of(parts.endpoint("r1")), endpoints.serving(Role.READ));
        assertNull(parts.endpoint("r3"));
        assertEquals(
                ServerState.GONE,
                parts.endpoint("r2").state,
                "a departed endpoint is kept while it has attempts in flight");
    }

    @Test
    void aCellWithFewDecodersSpillsToThoseWithCapacity() {
        assertEquals(0, endpoints.decodeSpilloverOf(0));
        Server moved = Fixtures.decodeServer("w2", 1);
        endpoints.update(new Members(ListUpdateKind.UPDATE, List.of(moved)));
        assertEquals(0.5, endpoints.decodeSpilloverOf(0), 1e-9);
        assertEquals(-0.5, endpoints.decodeSpilloverOf(1), 1e-9);
    }
}
