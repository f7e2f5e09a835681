package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Tell;
import sorrelhoist.routing.RoutingSettings.Role;

class QueueingDelaysTest {
    private final PolicyParts parts = new PolicyParts();
    private final QueueingDelays delays = parts.delays;

    private void answer(int fromCell, long tookMicros) {
        TrackedRequest request = parts.request(1, "a", null, 100, 0);
        Attempt attempt = parts.start(request, "w1", false, 1000);
        delays.recordAnswer(request, attempt, fromCell, tookMicros);
        attempt.endpoint.inFlight.ended(1, attempt);
    }

    @Test
    void aLocalAnswerGivesTheEndpointDelayAndARemoteOneTheLinkDelay() {
        answer(0, 51_000);
        assertEquals(50_000, delays.ofEndpoint(parts.endpoint("w1")), 1e-6);
        assertTrue(delays.ofFirstTokens() > 0);
        assertEquals(0, delays.ofPrefills());
        answer(1, 31_000);
        assertEquals(30_000, delays.ofLinkFrom(1), 1e-6);
        assertEquals(0, delays.ofLinkFrom(2));
    }

    @Test
    void localAnswersDoNotChangeTheDelayWhileRequestsAreDense() {
        parts.makeDense();
        answer(0, 51_000);
        assertEquals(0, delays.ofEndpoint(parts.endpoint("w1")));
    }

    @Test
    void overdueAttemptsCountAsDelayAndAreGossipedAtEachStep() {
        PolicyParts telling = new PolicyParts(Fixtures.gossipSettings(), Fixtures.fleet());
        for (int i = 0; i < 50; i++) {
            telling.gossip.recordArrival();
        }
        telling.start(telling.request(1, "a", null, 100, 0), "w1", false, 1000);
        List<Endpoint> all = telling.endpoints.serving(Role.WRITE);
        telling.advanceClock(300_000);
        telling.delays.gossipOverdue(all, 250_000);
        assertEquals(List.of(), telling.actions(Tell.class));
        telling.advanceClock(150_000);
        telling.delays.gossipOverdue(all, 250_000);
        assertEquals(1, telling.actions(Tell.class).size());
        assertEquals(449_000, telling.delays.ofEndpoint(telling.endpoint("w1")));
    }
}
