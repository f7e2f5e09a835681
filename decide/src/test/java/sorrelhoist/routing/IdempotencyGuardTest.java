package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;

class IdempotencyGuardTest {
    private static PolicyParts parts(Idempotency idempotency, IdempotencyScope scope) {
        return new PolicyParts(
                Fixtures.settings(idempotency, scope, false, List.of()), Fixtures.fleet());
    }

    private static TrackedRequest ranAt(PolicyParts parts, String id) {
        TrackedRequest request = parts.request(1, "a", null, 10, 0);
        request.mayHaveRunAt = parts.endpoint(id);
        request.mayHaveRunSince = parts.context.now();
        return request;
    }

    private static boolean mayRun(PolicyParts parts, TrackedRequest request, String id, long in) {
        return IdempotencyGuard.mayRunAt(request, parts.endpoint(id), parts.context.now() + in);
    }

    @Test
    void aRepeatRunsOnlyWhereItIsHarmless() {
        PolicyParts safe = parts(Idempotency.SAFE, IdempotencyScope.ALL);
        assertTrue(mayRun(safe, ranAt(safe, "w1"), "w3", 9 * SECOND));
        PolicyParts keyed = parts(Idempotency.KEYED, IdempotencyScope.CELL);
        assertTrue(mayRun(keyed, ranAt(keyed, "w1"), "w2", SECOND));
        assertFalse(
                mayRun(keyed, ranAt(keyed, "w1"), "w3", SECOND),
                "the key is not known in another cell");
        assertFalse(mayRun(keyed, ranAt(keyed, "w1"), "w2", 2 * SECOND), "the window has ended");
        PolicyParts unsafe = parts(Idempotency.UNSAFE, IdempotencyScope.ALL);
        assertTrue(mayRun(unsafe, unsafe.request(1, "a", null, 10, 0), "w1", 0));
        assertFalse(mayRun(unsafe, ranAt(unsafe, "w1"), "w1", 0));
        assertTrue(IdempotencyGuard.forbidsRetry(ranAt(unsafe, "w1")));
    }

    @Test
    void aClientIsRejectedOnlyWhereItsRetryIsHarmless() {
        PolicyParts zone = parts(Idempotency.KEYED, IdempotencyScope.ZONE);
        TrackedRequest request = zone.request(1, "a", null, 10, 0);
        assertTrue(IdempotencyGuard.mayReject(request));
        zone.start(request, "w1", false, 1);
        assertFalse(IdempotencyGuard.mayReject(request), "its decode is in flight and may run");
        PolicyParts all = parts(Idempotency.KEYED, IdempotencyScope.ALL);
        assertTrue(IdempotencyGuard.mayReject(ranAt(all, "w1")));
    }
}
