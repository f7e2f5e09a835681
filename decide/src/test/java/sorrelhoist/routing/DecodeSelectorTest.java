package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingSettings.Role;

class DecodeSelectorTest {
    private final PolicyParts parts = new PolicyParts();
    private final DecodeSelector selector =
            new DecodeSelector(parts.context, parts.endpoints, parts.delays);
    private final Endpoint r1 = parts.endpoint("r1");

    private Endpoint select() {
        return selector.select(r1, parts.endpoints.serving(Role.WRITE)).endpoint();
    }

    @Test
    void staysInTheCellAndPrefersFewerTokensInFlight() {
        parts.start(parts.request(1, "a", null, 10, 0), "w1", false, 1000);
        int heavier = 0;
        for (int i = 0; i < 100; i++) {
            Endpoint selected = select();
            assertEquals(0, selected.cell);
            heavier += selected.id.equals("w1") ? 1 : 0;
        }
        assertTrue(
                heavier > 5 && heavier < 45,
                "the heavier endpoint is selected only if both draws return it: " + heavier);
        assertNull(selector.select(r1, List.of()));
    }

    @Test
    void anEndpointWithALongDelayIsAvoided() {
        parts.endpoint("w1").queueingDelay.set(SECOND, parts.context.now());
        parts.endpoint("w2").queueingDelay.set(SECOND, parts.context.now());
        for (int i = 0; i < 20; i++) {
            assertEquals(1, select().cell);
        }
    }

    @Test
    void mixedEndpointsGetAllRequestsIfARoleIsMissing() {
        List<Endpoint> some = parts.endpoints.serving(Role.WRITE);
        assertTrue(selector.goesToMixed(List.of(), some, some));
        assertFalse(selector.goesToMixed(some, some, List.of()));
    }
}
