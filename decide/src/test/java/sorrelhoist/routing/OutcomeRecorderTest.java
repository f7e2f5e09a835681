package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

class OutcomeRecorderTest {
    private final PolicyParts parts = new PolicyParts();
    private final OutcomeRecorder recorder =
            new OutcomeRecorder(
                    parts.context,
                    parts.prefixes,
                    parts.serviceTimes,
                    parts.delays,
                    parts.outliers,
                    parts.gossip);
    private final TrackedRequest request = parts.request(1, "talk", null, 1000, 0);

    private Endpoint end(String id, Outcome outcome, long tookMicros, long note) {
        Attempt attempt = parts.start(request, id, id.startsWith("r"), 1000);
        recorder.recordOutcome(
                request,
                attempt,
                new AttemptEnded(1, 0, id, outcome, tookMicros, false, note, ServerLoad.NONE));
        return attempt.endpoint;
    }

    @Test
    void aRejectionBacksOffForItsClassAndTenantUnlessItConcernsTheRequestAlone() {
        assertEquals(Map.of(), end("w1", Outcome.FULL, 1000, 1).backoffUntil);
        long now = parts.context.now();
        assertEquals(Map.of(0, now + 200_000), end("w1", Outcome.FULL, 1000, 0).backoffUntil);
        assertEquals(Map.of(0, now + 400_000), end("w2", Outcome.FULL, 10_000, 0).backoffUntil);
    }

    @Test
    void aPrefillUpdatesServiceTimesAndAFailedOneRemovesTheHolder() {
        Endpoint r1 = end("r1", Outcome.READ, 10_000, 0);
        assertEquals(1, r1.health.latencySamples);
        assertEquals(parts.context.now(), r1.lastPrefillAt);
        assertEquals(0, parts.prefixes.missedTokens(r1, request));
        end("r1", Outcome.ERROR, 10_000, 0);
        assertEquals(1000, parts.prefixes.missedTokens(r1, request));
        assertTrue(r1.health.failureRate > 0);
        assertTrue(end("r2", Outcome.CONNECT_FAILED, 1, 0).health.ejected);
        assertFalse(end("r3", Outcome.CANCELLED, 1, 0).health.isKnown());
    }
}
