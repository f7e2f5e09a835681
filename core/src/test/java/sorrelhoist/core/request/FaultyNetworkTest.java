package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.request.FaultSchedule.Fault;

/**
 * Tests the faulty network simulation as a whole: it detects an injected defect and reports nothing
 * without one.
 */
class FaultyNetworkTest {
    private static final int PLANTED_SEEDS = 50;

    /**
     * Lower bound of the runs that detect the defect. A state has to be released only in runs in
     * which a decode is not served.
     */
    private static final int PLANTED_SEEN = 15;

    @Test
    void noStateIsLateWhereTheNetworkHasNoFaults() {
        assertEquals(List.of(), FaultyPlays.play(Set.of(), FaultyPlays.SEEDS).broken());
    }

    @Test
    void releasesThatLetGoOfNothingAreSeen() {
        Set<Fault> planted = EnumSet.of(Fault.RELEASES_DO_NOTHING);
        int seen = FaultyPlays.play(planted, PLANTED_SEEDS).broken().size();
        assertTrue(
                seen >= PLANTED_SEEN,
                "defect detected in " + seen + " of " + PLANTED_SEEDS + " seeds");
    }
}
