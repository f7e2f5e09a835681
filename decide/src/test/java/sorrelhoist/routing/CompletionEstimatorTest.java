package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class CompletionEstimatorTest {
    private final PolicyParts parts = new PolicyParts();

    @Test
    void completionIsTheTimeInFlightPlusDelayPlusServiceTime() {
        Endpoint r1 = parts.endpoint("r1");
        TrackedRequest request = parts.request(1, "a", null, 1000, 0);
        assertEquals(90_000, parts.completions.completion(r1, request), 1e-6);
        assertEquals(90_000, parts.completions.completionByIntervals(r1, request), 1e-6);
        parts.start(parts.request(2, "b", null, 100, 0), "r1", true, 7000);
        r1.queueingDelay.set(500, parts.context.now());
        assertEquals(97_500, parts.completions.completion(r1, request), 1e-6);
        // The attempt in flight has 100 uncached tokens: 30,000 + 60 * 100 by the interval between
        // prefills.
        assertEquals(126_500, parts.completions.completionByIntervals(r1, request), 1e-6);
        assertEquals(90_000, parts.completions.uncontended(r1, request), 1e-6);
    }
}
