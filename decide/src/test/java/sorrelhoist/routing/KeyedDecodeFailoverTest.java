package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingEvents.DeliveryUnconfirmed;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;

/**
 * Tests a decode with an idempotency key that may arrive after the key's window, once its stopped
 * endpoint runs again.
 */
class KeyedDecodeFailoverTest {
    /**
     * The endpoint would not reject the late decode for a missing state, as it may do the prefill
     * itself.
     */
    @Test
    void aKeyedDecodeKeepsWaitingIfDecodersMayPrefill() {
        PolicyParts parts =
                new PolicyParts(
                        Fixtures.settings(Idempotency.KEYED, IdempotencyScope.ALL, true, List.of()),
                        Fixtures.fleet());
        OutcomeRecorder outcomes =
                new OutcomeRecorder(
                        parts.context,
                        parts.prefixes,
                        parts.serviceTimes,
                        parts.delays,
                        parts.outliers,
                        parts.gossip);
        DeliveryFailover failover =
                new DeliveryFailover(
                        parts.context, parts.filter, outcomes, new RetryBudget(parts.context));
        TrackedRequest request = parts.request(1, "s", null, 1000, 0);
        request.prefilledAt = parts.endpoint("r1");
        parts.start(request, "w1", false, 1000);
        failover.onDeliveryUnconfirmed(request, new DeliveryUnconfirmed(1, 0, "w1"));
        assertEquals(
                List.of(),
                parts.actions(Cancel.class),
                "the attempt may still arrive after the window");
    }
}
