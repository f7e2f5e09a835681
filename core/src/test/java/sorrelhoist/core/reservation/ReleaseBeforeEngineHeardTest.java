package sorrelhoist.core.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** A release that was on its way as an engine that was stopped went on. */
class ReleaseBeforeEngineHeardTest extends ReservationTableTestSupport {
    private static final long MILLI = 1000;

    /**
     * The engine ends the prefill as it goes on, after the release before has arrived elsewhere.
     */
    @Test
    void aReleaseAfterAnEngineWasHeardIsNotAbandonedForTheAnswerToOneBefore() {
        table.opened(KEY, Hold.ofGivenUpPrefill("r0", 0), now);
        table.unwanted(KEY, now);
        answerLast(true);
        passTo(POLICY.settleMicros());
        assertEquals(2, calls.size());
        ReleaseCall before = lastCall();
        passTo(now + MILLI);
        table.engineHeard("r0", now);
        long heardAt = now;
        passTo(now + MILLI);
        table.releaseCompleted(before.id(), true, now);
        passTo(heardAt + LIMIT);
        assertTrue(releasesKept(heardAt) > 0, "all abandoned or made before: " + callTimes);
    }

    /** {@return how many releases were made from a time on, and not given up before an answer} */
    private long releasesKept(long from) {
        return IntStream.range(0, calls.size())
                .filter(i -> callTimes.get(i) >= from && !abandoned.contains(calls.get(i).id()))
                .count();
    }
}
