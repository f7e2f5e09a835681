package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;

class RequestConclusionTest {
    private final PolicyParts parts =
            new PolicyParts(
                    Fixtures.settings(Idempotency.UNSAFE, IdempotencyScope.ALL, false, List.of()),
                    Fixtures.fleet());
    private final RequestConclusion conclusion =
            new RequestConclusion(parts.context, parts.requests);
    private final TrackedRequest request = parts.request(1, "a", null, 10, 0);
    private final Reason reason = Reason.of(Reason.Kind.NO_SERVER);

    @Test
    void aRequestThatNeverRanIsRejectedWithABackoff() {
        parts.requests.add(request);
        conclusion.giveUp(request, reason);
        Refuse refuse = parts.actions(Refuse.class).get(0);
        assertTrue(refuse.backoffMicros() >= 300_000 && refuse.backoffMicros() < 600_000);
        assertEquals(
                1, parts.context.actions().size(), "no reservation exists, so none is released");
        assertFalse(parts.requests.contains(1));
        assertEquals(0, parts.requests.waiting());
    }

    @Test
    void aRequestThatMayHaveRunFailsAndItsAttemptIsCancelled() {
        parts.requests.add(request);
        parts.start(request, "w1", false, 1);
        conclusion.giveUp(request, reason);
        assertEquals(
                List.of(new Fail(1, reason), new Cancel(1, 0, reason)), parts.context.actions());
        assertTrue(parts.requests.contains(1), "the request is kept until its attempt ends");
        conclusion.finish(request);
        assertEquals(List.of(new Release(1)), parts.actions(Release.class));
    }
}
