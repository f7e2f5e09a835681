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
    private static final int DEFECT_SEEDS = 50;

    /**
     * Lower bound of the runs that detect the defect. A state has to be released only in runs in
     * which a decode is not served.
     */
    private static final int MIN_DETECTED_SEEDS = 15;

    @Test
    void noStateIsLateWhereTheNetworkHasNoFaults() {
        assertEquals(List.of(), FaultyFleetRuns.run(Set.of(), FaultyFleetRuns.SEEDS).failedSeeds());
    }

    @Test
    void releasesThatReleaseNothingAreDetected() {
        Set<Fault> defect = EnumSet.of(Fault.RELEASES_DO_NOTHING);
        int detected = FaultyFleetRuns.run(defect, DEFECT_SEEDS).failedSeeds().size();
        assertTrue(
                detected >= MIN_DETECTED_SEEDS,
                "defect detected in " + detected + " of " + DEFECT_SEEDS + " seeds");
    }
}
