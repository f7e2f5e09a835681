package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

class GossipReceiverTest {
    private final PolicyParts parts = new PolicyParts();
    private final Endpoint r1 = parts.endpoint("r1");
    private final GossipReceiver receiver =
            new GossipReceiver(parts.context, parts.arrivals, parts.endpoints, parts.outliers);

    private void receive(char kind, int classTenantKey, long value) {
        GossipCodec.Item item = new GossipCodec.Item(kind, classTenantKey, value);
        receiver.receive(GossipCodec.write(Map.of(Hash.tag("r1"), item)));
    }

    @Test
    void delaysAndRejectionsAreApplied() {
        receive(GossipCodec.DELAY, 0, 250);
        assertEquals(250_000, parts.delays.ofEndpoint(r1), 1e-6);
        receive(GossipCodec.FULL, 1, 200);
        receive(GossipCodec.FULL, 999_999, 200);
        assertEquals(Map.of(1, parts.context.now() + 200_000), r1.backoffUntil);
        receiver.receive("zzz:l0.1 nonsense");
    }

    @Test
    void anUnreachableEndpointIsEjectedInItsZoneAndReinstatedOnRecovery() {
        receive(GossipCodec.UNREACHABLE, 0, 1);
        assertFalse(
                r1.health.ejected,
                "a failure in another zone does not eject: r1 may be reachable from here");
        receive(GossipCodec.UNREACHABLE, 0, 0);
        assertTrue(r1.health.ejected);
        receive(GossipCodec.RECOVERED, 0, 0);
        assertFalse(r1.health.ejected);
    }

    @Test
    void failuresEjectBeyondThoseOfThePeersAndOnlyWhereOwnRequestsAreSparse() {
        for (int i = 0; i < 3; i++) {
            assertFalse(r1.health.ejected);
            receive(GossipCodec.FAILED, 0, 0);
        }
        assertTrue(r1.health.ejected);
        PolicyParts dense = new PolicyParts();
        dense.makeDense();
        GossipReceiver other =
                new GossipReceiver(dense.context, dense.arrivals, dense.endpoints, dense.outliers);
        for (int i = 0; i < 9; i++) {
            other.receive(Hash.tag("r1") + ":e0.0 ");
        }
        assertFalse(dense.endpoint("r1").health.ejected);
    }
}
