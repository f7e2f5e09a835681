package sorrelhoist.core.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests a release that was in flight when a suspended engine resumed. */
class ReleaseBeforeEngineRespondedTest extends ReservationTableTestSupport {
    private static final long MILLI = 1000;

    /**
     * The engine finishes the prefill when it resumes, after the earlier release has reached
     * another engine.
     */
    @Test
    void answerToEarlierReleaseDoesNotAbandonReleaseAfterEngineResponded() {
        table.addHold(KEY, Hold.ofGivenUpPrefill("r0", 0), now);
        table.markUnwanted(KEY, now);
        answerLast(true);
        advanceTo(POLICY.settleMicros());
        assertEquals(2, calls.size());
        ReleaseCall before = lastCall();
        advanceTo(now + MILLI);
        table.engineResponded("r0", now);
        long heardAt = now;
        advanceTo(now + MILLI);
        table.releaseCompleted(before.id(), true, now);
        advanceTo(heardAt + LIMIT);
        assertTrue(
                releasesKept(heardAt) > 0,
                "every release was abandoned or sent before the engine responded: " + callTimes);
    }

    /** {@return the number of releases sent at or after {@code from} that were not abandoned} */
    private long releasesKept(long from) {
        return IntStream.range(0, calls.size())
                .filter(i -> callTimes.get(i) >= from && !abandoned.contains(calls.get(i).id()))
                .count();
    }
}
