package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.request.FaultSchedule.Fault;
import sorrelhoist.core.request.FaultyFleet.Cause;

/**
 * Checks that the prefill states held at workers are fetched or released in time under network and
 * worker faults. The checks use the actual state of the workers, not the router's view of it. There
 * is one test for each cause; all but the last test share the simulation runs of one set of seeds.
 */
class PrefillStatesUnderFaultsTest {
    private static FaultyFleetRuns sharedRuns;

    @BeforeAll
    static void runSimulations() {
        sharedRuns = FaultyFleetRuns.run(FaultSchedule.EVENTS, FaultyFleetRuns.SEEDS);
    }

    private static void assertNone(Cause cause, FaultyFleetRuns runs) {
        List<Long> failedSeeds = runs.failedSeedsBy(cause);
        assertEquals(
                List.of(), failedSeeds, failedSeeds.size() + " seeds failed because of " + cause);
    }

    @Test
    void noStateIsLateForADecodeThatHasNotArrived() {
        assertNone(Cause.DECODE_NOT_ARRIVED, sharedRuns);
    }

    @Test
    void noStateIsLateForADecodeThatEndedWithoutItsAnswer() {
        assertNone(Cause.DECODE_UNANSWERED, sharedRuns);
    }

    @Test
    void noStateIsLateThatAPrefillProducedAfterItsEndAtTheRouter() {
        assertNone(Cause.PREFILL_ENDED_LATE, sharedRuns);
    }

    @Test
    void noStateIsLateForAnyOtherCause() {
        assertNone(Cause.OTHER, sharedRuns);
    }

    /** Workers continue a prefill although they notice that its connection was closed. */
    @Test
    void noStateIsLateThatAPrefillProducedAfterItsConnectionWasClosed() {
        FaultyFleetRuns goingOn =
                FaultyFleetRuns.run(EnumSet.of(Fault.PREFILLS_CONTINUE), FaultyFleetRuns.SEEDS);
        assertNone(Cause.PREFILL_ENDED_LATE, goingOn);
    }
}
