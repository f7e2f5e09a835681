package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ServiceTimesTest {
    private final PolicyParts parts = new PolicyParts();
    private final Endpoint r1 = parts.endpoint("r1");

    @Test
    void whereRequestsAreSparseAnOutlyingSampleIsClipped() {
        PolicyParts dense = new PolicyParts();
        dense.makeDense();
        double expected = parts.serviceTimes.prefillMicros(r1, 1000);
        double ratio = parts.serviceTimes.learnPrefill(r1, 1000, 9_000_000);
        assertEquals(9_000_000 / expected, ratio, 1e-9);
        dense.serviceTimes.learnPrefill(r1, 1000, 9_000_000);
        double clipped = parts.serviceTimes.prefillMicros(r1, 1000);
        assertTrue(clipped > expected && clipped < 3 * expected);
        assertTrue(dense.serviceTimes.prefillMicros(r1, 1000) > 3 * clipped);
    }
}
