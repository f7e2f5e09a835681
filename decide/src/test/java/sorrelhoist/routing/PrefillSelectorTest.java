package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static sorrelhoist.routing.Fixtures.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingSettings.Role;

class PrefillSelectorTest {
    private final PolicyParts parts = new PolicyParts();
    private final PrefillSelector selector =
            new PrefillSelector(
                    parts.context,
                    parts.arrivals,
                    parts.prefixes,
                    parts.serviceTimes,
                    parts.completions);
    private final TrackedRequest request = parts.request(1, "talk", "pre", 1000, 300);

    private Selection select() {
        return selector.select(request, parts.endpoints.serving(Role.READ));
    }

    @Test
    void anUnseenPrefixGoesByItsHash() {
        Selection unseen = select();
        List<Endpoint> all = parts.endpoints.serving(Role.READ);
        assertSame(Endpoints.byHash("pre", all), unseen.endpoint());
        assertEquals(Reason.Kind.UNSEEN, unseen.kind());
    }

    @Test
    void anEndpointWithMostOfThePromptCachedIsSelectedUntilItIsCongested() {
        for (String id : List.of("r1", "r2", "r3", "r4")) {
            parts.prefixes.forgetEndpoint("r1");
            parts.prefixes.forgetEndpoint("r2");
            parts.prefixes.forgetEndpoint("r3");
            parts.prefixes.addHolder("talk", 900, parts.endpoint(id));
            assertEquals(id, select().endpoint().id);
            assertEquals(Reason.Kind.KEPT, select().kind());
        }
        parts.endpoint("r4").queueingDelay.set(SECOND, parts.context.now());
        assertEquals(Reason.Kind.UNJAMMED, select().kind());
    }

    @Test
    void anImbalanceMovesAPrefillToTheEndpointWithTheLowestLoad() {
        parts.prefixes.addHolder("talk", 900, parts.endpoint("r1"));
        for (String id : List.of("r1", "r2", "r3", "r4")) {
            for (int i = 0; i < 4; i++) {
                double prefillMicros = id.equals("r1") ? 100_000 : id.equals("r3") ? 1 : 1000;
                parts.endpoint(id).history.recordSend(parts.context.now(), prefillMicros);
            }
        }
        Selection shifted = select();
        assertEquals("r3", shifted.endpoint().id);
        assertEquals(Reason.Kind.SHIFTED, shifted.kind());
    }
}
