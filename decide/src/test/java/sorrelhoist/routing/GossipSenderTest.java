package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Tell;

class GossipSenderTest {
    private static Tell publishOnce(PolicyParts parts) {
        parts.gossip.publish(parts.endpoint("r1"), GossipCodec.FAILED, 0, 0);
        List<Tell> sent = parts.actions(Tell.class);
        return sent.isEmpty() ? null : sent.get(0);
    }

    @Test
    void gossipIsSentOnceTheBudgetPaysForItAndOnlyWherePermitted() {
        PolicyParts parts = new PolicyParts(Fixtures.gossipSettings(), Fixtures.fleet());
        assertNull(publishOnce(parts));
        parts.gossip.recordArrival();
        assertEquals(Hash.tag("r1") + ":e0.0 ", publishOnce(parts).body());
        PolicyParts silent = new PolicyParts();
        silent.gossip.recordArrival();
        assertNull(publishOnce(silent));
    }

    @Test
    void delaysAreNotGossipedWhileRequestsAreDense() {
        PolicyParts parts = new PolicyParts(Fixtures.gossipSettings(), Fixtures.fleet());
        parts.makeDense();
        parts.gossip.recordArrival();
        parts.gossip.publish(parts.endpoint("r1"), GossipCodec.DELAY, 0, 400);
        assertEquals(List.of(), parts.actions(Tell.class));
    }
}
