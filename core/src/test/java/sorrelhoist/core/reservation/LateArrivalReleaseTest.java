package sorrelhoist.core.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the releases for abandoned prefills that reach their engine, or end there, later. */
class LateArrivalReleaseTest extends ReservationTableTestSupport {
    private static final long SILENCE = 20 * LIMIT;

    /** Time after which the repeated releases end once an engine has responded. */
    private static final long SETTLED_AFTER = POLICY.lateArrivalMicros() + POLICY.renewMicros();

    private static final long FORGOTTEN_AFTER = POLICY.removedEngineMicros() + POLICY.renewMicros();

    private void openUnwanted(Hold hold) {
        table.opened(KEY, hold, now);
        table.unwanted(KEY, now);
        answerLast(true);
    }

    private void assertReleasedWithinEachLimitWhileUnheard() {
        passAnsweringTo(SILENCE);
        assertEquals(1, table.size());
        assertTrue(longestPause(0, SILENCE) <= LIMIT, "no release for " + longestPause(0, SILENCE));
        assertTrue(calls.size() <= SILENCE / POLICY.renewMicros() + 2, calls.size() + " releases");
        assertEquals(0, table.releasableCount(), "shutdown must not wait for the engine");
    }

    private void assertReleasedUntilItHasSettled() {
        int before = calls.size();
        long heardAt = now;
        table.engineHeard("r0", now);
        passAnsweringTo(heardAt + SETTLED_AFTER);
        assertTrue(longestPause(heardAt, callTimes.get(calls.size() - 1)) <= LIMIT);
        assertTrue(callTimes.get(calls.size() - 1) >= heardAt + POLICY.lateArrivalMicros());
        int releases = calls.size() - before;
        assertTrue(releases <= SETTLED_AFTER / POLICY.renewMicros() + 1, releases + " releases");
        assertEquals(0, table.size());
    }

    @Test
    void whatAnUndeliveredPrefillMayLeaveIsReleasedUntilItsEngineWasHeardAndHasSettled() {
        openUnwanted(Hold.ofUndeliveredPrefill("r0", 0));
        assertReleasedWithinEachLimitWhileUnheard();
        assertReleasedUntilItHasSettled();
    }

    @Test
    void whatAPrefillMayLeaveIsReleasedForSomeTimeAfterItsEngineHasLeft() {
        openUnwanted(Hold.ofUndeliveredPrefill("r0", 0));
        passAnsweringTo(10 * LIMIT);
        table.engineRemoved("r1", now);
        passAnsweringTo(now + 2 * LIMIT);
        assertEquals(1, table.size());
        int before = calls.size();
        table.engineRemoved("r0", now);
        long removedAt = now;
        passAnsweringTo(removedAt + FORGOTTEN_AFTER);
        assertTrue(calls.size() > before, "no release after the engine was removed");
        assertTrue(callTimes.get(calls.size() - 1) >= removedAt + POLICY.removedEngineMicros());
        assertTrue(longestPause(removedAt, callTimes.get(calls.size() - 1)) <= LIMIT);
        assertEquals(0, table.size());
    }

    @Test
    void whatAGivenUpPrefillMayLeaveIsReleasedUntilItHasSettledWhereItsEngineGoesOn() {
        openUnwanted(Hold.ofGivenUpPrefill("r0", 0));
        passAnsweringTo(10_000);
        assertReleasedUntilItHasSettled();
    }

    @Test
    void whatAGivenUpPrefillMayLeaveAtAStoppedEngineIsReleasedUntilThatRunsAgainAndHasSettled() {
        openUnwanted(Hold.ofGivenUpPrefill("r0", 0));
        assertReleasedWithinEachLimitWhileUnheard();
        assertReleasedUntilItHasSettled();
    }

    /**
     * The stream consumes the state of another prefill, so the abandoned one may still create its
     * own.
     */
    @Test
    void aStreamThatBeganDoesNotEndTheWaitForWhatMayArriveLate() {
        table.opened(KEY, Hold.ofUndeliveredPrefill("r0", 0), now);
        table.prefillCompleted(KEY, Hold.ofPrefillState("r1", ""), now);
        passTo(POLICY.settleMicros() - 1);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        passTo(2 * POLICY.settleMicros());
        table.taken(KEY, now);
        assertEquals(1, table.size());
        long takenAt = now;
        passAnsweringTo(10 * LIMIT);
        assertTrue(
                longestPause(takenAt, now) <= LIMIT,
                "releases must go on, as the engine may continue behind a network partition");
        assertReleasedUntilItHasSettled();
    }

    /** The engine responded, but may have been suspended again before it started the prefill. */
    @Test
    void aStreamDoesNotEndTheReleasesThatFollowEachOther() {
        table.opened(KEY, Hold.ofUndeliveredPrefill("r0", 0), now);
        table.prefillCompleted(KEY, Hold.ofPrefillState("r1", ""), now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptDelivered(KEY, now);
        table.engineHeard("r0", now);
        passTo(POLICY.renewMicros() - 1);
        assertEquals(0, calls.size());
        table.taken(KEY, now);
        passTo(now);
        assertEquals(1, calls.size());
        answerLast(true);
        passAnsweringTo(POLICY.lateArrivalMicros());
        assertEquals(1, table.size());
        assertTrue(longestPause(0, callTimes.get(calls.size() - 1)) <= LIMIT);
        passAnsweringTo(SETTLED_AFTER);
        assertEquals(0, table.size());
    }

    /**
     * An engine that is dead but still listed must not cause more and more calls with each request.
     */
    @Test
    void releasesForAnEngineThatIsNeverHeardPauseAfterAWhileAndGoOnOnceItIsHeard() {
        openUnwanted(Hold.ofUndeliveredPrefill("r0", 0));
        passAnsweringTo(POLICY.unheardEngineMicros() + POLICY.renewMicros());
        int before = calls.size();
        passAnsweringTo(10 * POLICY.unheardEngineMicros());
        assertEquals(before, calls.size());
        assertReleasedUntilItHasSettled();
    }
}
