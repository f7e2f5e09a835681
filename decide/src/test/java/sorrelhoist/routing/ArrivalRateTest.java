package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.SECOND;

import org.junit.jupiter.api.Test;

class ArrivalRateTest {
    private final ArrivalRate arrivals = new ArrivalRate();

    @Test
    void arrivalsInQuickSuccessionAreDenseUntilALongGap() {
        assertFalse(arrivals.isDense());
        for (int i = 1; i <= 50; i++) {
            arrivals.recordArrival(SECOND + i * 1000L);
        }
        assertTrue(arrivals.isDense());
        assertEquals(50, arrivals.arrivals());
        arrivals.recordArrival(3600 * SECOND);
        assertFalse(arrivals.isDense());
        assertTrue(arrivals.meanGapMicros() < SECOND, "a gap counts as at most ten seconds");
    }
}
