package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingSettings.Role;

class CandidateFilterTest {
    private final PolicyParts parts = new PolicyParts();
    private final TrackedRequest request = parts.request(1, "a", null, 10, 0);

    private List<String> readers() {
        return parts.filter.candidates(Role.READ, request).stream().map(e -> e.id).toList();
    }

    @Test
    void failedEjectedAndFullEndpointsAreAvoidedWhileOthersAreLeft() {
        assertEquals(List.of("r1", "r2", "r3", "r4"), readers());
        request.failedEndpoints.add(parts.endpoint("r1"));
        parts.endpoint("r2").health.ejected = true;
        parts.endpoint("r3").backoffUntil.put(request.classTenantKey(), Long.MAX_VALUE);
        assertEquals(List.of("r4"), readers());
        parts.endpoint("r4").backoffUntil.put(request.classTenantKey(), Long.MAX_VALUE);
        assertEquals(List.of("r3", "r4"), readers());
    }

    @Test
    void theLeastFailingEndpointStaysACandidateIfAllAreEjected() {
        parts.endpoints.serving(Role.READ).forEach(e -> e.health.ejected = true);
        parts.endpoints.serving(Role.READ).forEach(e -> e.health.failureRate = 1);
        parts.endpoint("r3").health.failureRate = 0.6;
        assertEquals(List.of("r3"), readers());
    }

    @Test
    void aRecoveryProbeIsARequestThatCanAffordARetry() {
        parts.endpoint("r2").health.ejected = true;
        assertEquals("r2", parts.filter.recoveryProbe(Role.READ, request).endpoint().id);
        request.failedEndpoints.add(parts.endpoint("r1"));
        assertNull(parts.filter.recoveryProbe(Role.READ, request));
    }

    @Test
    void reportsWhyNoEndpointOfARoleIsAvailable() {
        assertEquals(Reason.Kind.NO_SERVER, parts.filter.unavailability(Role.BOTH, request));
        assertEquals(Reason.Kind.COLD, parts.filter.unavailability(Role.READ, request));
        Server draining =
                Fixtures.withState(Fixtures.prefillServer("r1", 0), ServerState.DRAINING, 0);
        parts.endpoints.update(new Members(ListUpdateKind.COMPLETE, List.of(draining)));
        assertEquals(Reason.Kind.DRAINING, parts.filter.unavailability(Role.READ, request));
    }
}
