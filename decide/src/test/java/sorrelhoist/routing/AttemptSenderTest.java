package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Send;

class AttemptSenderTest {
    private final PolicyParts parts = new PolicyParts();
    private final AttemptSender sender =
            new AttemptSender(parts.context, parts.prefixes, parts.serviceTimes, parts.delays);

    private Selection selected(String id) {
        return new Selection(parts.endpoint(id), Reason.Kind.UNSEEN, 5, null, 6);
    }

    @Test
    void aPrefillCountsAsLoadAndAsLikelyCachedAndLeavesTimeForAnotherAttempt() {
        TrackedRequest request = parts.request(1, "talk", null, 1000, 0);
        sender.sendPrefill(request, selected("r1"));
        Send send = parts.actions(Send.class).get(0);
        assertEquals(
                PolicyParts.START + 2_400_000,
                send.cutAt(),
                "the timeout is 0.6 of the remaining four seconds");
        assertEquals(90_000, send.why().expected(), 1e-6);
        assertEquals(90_000, parts.endpoint("r1").history.load(), 1e-6);
        assertEquals(0, parts.prefixes.missedTokens(parts.endpoint("r1"), request));
        assertTrue(request.isInFlight(0) && request.attempt.prefill);
    }

    @Test
    void aDecodeCountsItsTokensInFlight() {
        TrackedRequest request = parts.request(1, "talk", null, 1000, 0);
        sender.sendDecode(request, selected("w1"));
        assertEquals(1200, parts.endpoint("w1").inFlight.tokens());
        assertEquals(0, parts.endpoint("w1").history.load());
        assertFalse(request.attempt.prefill);
    }
}
