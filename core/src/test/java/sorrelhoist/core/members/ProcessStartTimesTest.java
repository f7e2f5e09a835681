package sorrelhoist.core.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static sorrelhoist.core.members.ProcessStartTimes.LONG_AGO;

import org.junit.jupiter.api.Test;

/** Tests start times of processes given on the clocks of other machines. */
class ProcessStartTimesTest {
    private static final long NOW = 1_000_000;

    private final ProcessStartTimes starts = new ProcessStartTimes();

    @Test
    void firstListsAreUsedButClampedToNow() {
        assertEquals(900_000, starts.localStartTime("a", 900_000, NOW));
        assertEquals(NOW, starts.localStartTime("b", 2 * NOW, NOW));
        assertEquals(LONG_AGO, starts.localStartTime("c", LONG_AGO, NOW));
    }

    @Test
    void laterProcessStartsWhenFirstListed() {
        starts.localStartTime("a", 900_000, NOW);
        starts.discoveryListReceived();
        assertEquals(900_000, starts.localStartTime("a", 900_000, NOW + 1));
        assertEquals(NOW + 1, starts.localStartTime("a", 950_000, NOW + 1));
        assertEquals(NOW + 1, starts.localStartTime("a", 950_000, NOW + 2));
    }
}
