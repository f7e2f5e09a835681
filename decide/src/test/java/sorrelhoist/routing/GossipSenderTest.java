package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Tell;

class GossipSenderTest {
    private static Tell tellOnce(PolicyParts parts) {
        parts.gossip.tell(parts.endpoint("r1"), GossipCodec.FAILED, 0, 0);
        List<Tell> sent = parts.actions(Tell.class);
        return sent.isEmpty() ? null : sent.get(0);
    }

    @Test
    void gossipIsSentOnceTheBudgetPaysForItAndOnlyWherePermitted() {
        PolicyParts parts = new PolicyParts(Fixtures.gossiping(), Fixtures.fleet());
        assertNull(tellOnce(parts));
        parts.gossip.recordArrival();
        assertEquals(Hash.tag("r1") + ":e0.0 ", tellOnce(parts).body());
        PolicyParts silent = new PolicyParts();
        silent.gossip.recordArrival();
        assertNull(tellOnce(silent));
    }

    @Test
    void delaysAreNotToldWhereRequestsAreDense() {
        PolicyParts parts = new PolicyParts(Fixtures.gossiping(), Fixtures.fleet());
        parts.makeDense();
        parts.gossip.recordArrival();
        parts.gossip.tell(parts.endpoint("r1"), GossipCodec.DELAY, 0, 400);
        assertEquals(List.of(), parts.actions(Tell.class));
    }
}
