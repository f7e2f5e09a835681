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
class StatesUnderFaultsTest {
    private static FaultyPlays plays;

    @BeforeAll
    static void play() {
        plays = FaultyPlays.play(FaultSchedule.EVENTS, FaultyPlays.SEEDS);
    }

    private static void assertNone(Cause cause, FaultyPlays played) {
        List<Long> broken = played.brokenBy(cause);
        assertEquals(List.of(), broken, broken.size() + " seeds failed because of " + cause);
    }

    @Test
    void noStateIsLateForADecodeThatHasNotArrived() {
        assertNone(Cause.DECODE_NOT_ARRIVED, plays);
    }

    @Test
    void noStateIsLateForADecodeThatIsOverWithoutItsAnswer() {
        assertNone(Cause.DECODE_UNANSWERED, plays);
    }

    @Test
    void noStateIsLateThatAPrefillLeftAfterItsEnd() {
        assertNone(Cause.PREFILL_ENDED_LATE, plays);
    }

    @Test
    void noStateIsLateForAnyOtherCause() {
        assertNone(Cause.OTHER, plays);
    }

    /** Workers continue a prefill although they notice that its connection was closed. */
    @Test
    void noStateIsLateThatAPrefillLeftWhichWentOnThoughItWasClosed() {
        FaultyPlays goingOn = FaultyPlays.play(EnumSet.of(Fault.PREFILLS_GO_ON), FaultyPlays.SEEDS);
        assertNone(Cause.PREFILL_ENDED_LATE, goingOn);
    }
}
