package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.SECOND;

import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingSettings.Role;

class AdmissionControllerTest {
    private final PolicyParts parts = new PolicyParts();
    private final AdmissionController admission =
            new AdmissionController(
                    parts.context,
                    parts.arrivals,
                    parts.requests,
                    new TenantQuota(parts.context),
                    parts.serviceTimes,
                    parts.delays,
                    parts.completions);

    private Reason rejection(TrackedRequest request) {
        return admission.rejection(
                request,
                parts.endpoints.serving(Role.READ),
                parts.endpoint("r1"),
                parts.endpoints.serving(Role.WRITE));
    }

    private void delayAllEndpoints() {
        for (Endpoint endpoint : parts.endpoints.serving(Role.READ)) {
            endpoint.queueingDelay.set(2 * SECOND, parts.context.now());
        }
    }

    @Test
    void requestsThatWouldMissTheirLimitAreRejectedOnceEnoughWait() {
        TrackedRequest request = parts.request(1, "a", null, 1000, 0);
        delayAllEndpoints();
        assertNull(rejection(request), "few requests wait: admitted to learn service times");
        for (int i = 0; i < 10; i++) {
            parts.requests.add(parts.request(100 + i, "b", null, 10, 0));
        }
        Reason reason = rejection(request);
        // The second class of the fixture has a higher weight.
        assertEquals(Reason.Kind.DOOR_LESS_WORTH, reason.kind());
        assertTrue(reason.expected() > reason.limit());
        assertEquals(0.85 * 800_000, reason.limit(), 1e-6);
        assertEquals(reason.expected(), reason.read() + reason.first() + reason.lag(), 1e-6);
    }

    @Test
    void anIdleFleetAdmitsAllRequests() {
        for (int i = 0; i < 10; i++) {
            parts.requests.add(parts.request(100 + i, "b", null, 10, 0));
        }
        assertNull(rejection(parts.request(1, "a", null, 1000, 0)));
    }
}
