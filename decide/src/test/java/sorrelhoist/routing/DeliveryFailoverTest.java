package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingEvents.DeliveryUnconfirmed;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.RequestClass;
import sorrelhoist.routing.RoutingSettings.Role;

/** Tests the handling of attempts that are not confirmed to have reached their endpoint. */
class DeliveryFailoverTest {
    private static final long AVOIDED_MICROS = 1_000_000;

    private final PolicyParts parts = new PolicyParts();
    private final OutcomeRecorder outcomes =
            new OutcomeRecorder(
                    parts.context,
                    parts.prefixes,
                    parts.serviceTimes,
                    parts.delays,
                    parts.outliers,
                    parts.gossip);
    private final RetryBudget retries = new RetryBudget(parts.context);
    private final DeliveryFailover failover =
            new DeliveryFailover(parts.context, parts.filter, outcomes, retries);

    private TrackedRequest request(
            Idempotency idempotency, IdempotencyScope scope, long windowMicros) {
        RequestClass plain = parts.context.settings().classes().get(0);
        RequestClass requestClass =
                new RequestClass(
                        plain.latencyObjectiveMicros(),
                        plain.latencyObjectivePer1000TokensMicros(),
                        plain.priorityWeight(),
                        idempotency,
                        scope,
                        windowMicros);
        return new TrackedRequest(
                Fixtures.request(1, "s", null, 1000, 0), requestClass, parts.context.now());
    }

    private TrackedRequest safeRequest() {
        return request(Idempotency.SAFE, IdempotencyScope.ALL, 0);
    }

    /**
     * {@return the cancellations that follow when the request's attempt is reported as unconfirmed}
     */
    private List<Cancel> reportUnconfirmed(TrackedRequest request) {
        Attempt attempt = request.attempt;
        failover.onDeliveryUnconfirmed(
                request, new DeliveryUnconfirmed(request.id, attempt.number, attempt.endpoint.id));
        return parts.actions(Cancel.class);
    }

    @Test
    void aSafeDecodeFailsOverToAnotherEndpoint() {
        TrackedRequest request = safeRequest();
        parts.start(request, "w1", false, 1000);
        assertEquals(
                List.of(new Cancel(1, 0, Reason.of(Reason.Kind.UNCONFIRMED))),
                reportUnconfirmed(request));
    }

    @Test
    void aRequestThatMayNotBeRepeatedKeepsWaitingAsItMayStillArrive() {
        TrackedRequest request = request(Idempotency.UNSAFE, IdempotencyScope.ALL, 0);
        parts.start(request, "w1", false, 1000);
        assertEquals(List.of(), reportUnconfirmed(request));
        assertTrue(request.attempt.unconfirmed);
    }

    @Test
    void aPrefillFailsOverWhateverItsClass() {
        TrackedRequest request = request(Idempotency.UNSAFE, IdempotencyScope.ALL, 0);
        parts.start(request, "r1", true, 1000);
        assertEquals(1, reportUnconfirmed(request).size());
    }

    @Test
    void aKeyedDecodeFailsOverOnlyWithinItsWindowAndScope() {
        TrackedRequest within = request(Idempotency.KEYED, IdempotencyScope.ALL, 1_000_000);
        within.prefilledAt = parts.endpoint("r1");
        parts.start(within, "w1", false, 1000);
        assertEquals(1, reportUnconfirmed(within).size());

        TrackedRequest late = request(Idempotency.KEYED, IdempotencyScope.ALL, 1000);
        late.prefilledAt = parts.endpoint("r1");
        parts.start(late, "w2", false, 1000);
        parts.advanceClock(2000);
        assertEquals(List.of(), reportUnconfirmed(late));
    }

    @Test
    void aKeyedDecodeWithoutPrefilledStateKeepsWaitingAsItMayArriveAfterItsWindow() {
        TrackedRequest request = request(Idempotency.KEYED, IdempotencyScope.ALL, 1_000_000);
        parts.start(request, "w1", false, 1000);
        assertEquals(List.of(), reportUnconfirmed(request));
    }

    @Test
    void noFailoverWithoutAnotherEndpoint() {
        TrackedRequest request = safeRequest();
        parts.start(request, "w1", false, 1000);
        for (Endpoint endpoint : parts.endpoints.serving(Role.WRITE)) {
            endpoint.avoidedUntil = Long.MAX_VALUE;
        }
        assertEquals(List.of(), reportUnconfirmed(request));
    }

    @Test
    void noFailoverWithAnExhaustedRetryBudget() {
        while (!retries.isExhausted()) {
            retries.spend();
        }
        TrackedRequest request = safeRequest();
        parts.start(request, "w1", false, 1000);
        assertEquals(List.of(), reportUnconfirmed(request));
    }

    @Test
    void noFailoverOnTheLastAttempt() {
        TrackedRequest request = safeRequest();
        request.attempts = parts.context.settings().capabilities().maxAttempts() - 1;
        parts.start(request, "w1", false, 1000);
        assertEquals(List.of(), reportUnconfirmed(request));
    }

    @Test
    void aSilentEndpointIsAvoidedForAWhile() {
        TrackedRequest request = safeRequest();
        parts.start(request, "w1", false, 1000);
        reportUnconfirmed(request);
        TrackedRequest next = safeRequest();
        assertFalse(parts.filter.candidates(Role.WRITE, next).contains(parts.endpoint("w1")));
        parts.advanceClock(AVOIDED_MICROS);
        assertTrue(parts.filter.candidates(Role.WRITE, next).contains(parts.endpoint("w1")));
    }

    @Test
    void aSilentEndpointCountsAsFailedOnceForEachAttempt() {
        TrackedRequest request = safeRequest();
        Attempt attempt = parts.start(request, "w1", false, 1000);
        reportUnconfirmed(request);
        double failureRate = attempt.endpoint.health.failureRate;
        assertNotEquals(0, failureRate);
        outcomes.recordOutcome(
                request,
                attempt,
                new RoutingEvents.AttemptEnded(
                        1,
                        0,
                        "w1",
                        Outcome.TIMED_OUT,
                        1000,
                        false,
                        0,
                        RoutingEvents.ServerLoad.NONE));
        assertEquals(failureRate, attempt.endpoint.health.failureRate);
    }
}
