package sorrelhoist.core.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the releases for abandoned prefills that reach their engine, or end there, later. */
class LateArrivalReleaseTest extends ReservationTableTestSupport {
    private static final long SILENCE = 20 * LIMIT;

    /** Time after which the repeated releases end once an engine has responded. */
    private static final long SETTLED_AFTER = POLICY.lateArrivalMicros() + POLICY.renewMicros();

    private static final long REMOVED_AFTER = POLICY.removedEngineMicros() + POLICY.renewMicros();

    private void openUnwanted(Hold hold) {
        table.addHold(KEY, hold, now);
        table.markUnwanted(KEY, now);
        answerLast(true);
    }

    private void assertReleasedWithinEachLimitWhileSilent() {
        advanceAnsweringTo(SILENCE);
        assertEquals(1, table.size());
        assertTrue(
                longestTimeWithoutRelease(0, SILENCE) <= LIMIT,
                "no release for " + longestTimeWithoutRelease(0, SILENCE));
        assertTrue(calls.size() <= SILENCE / POLICY.renewMicros() + 2, calls.size() + " releases");
        assertEquals(0, table.releasableCount(), "shutdown must not wait for the engine");
    }

    private void assertReleasedUntilSettled() {
        int before = calls.size();
        long heardAt = now;
        table.engineResponded("r0", now);
        advanceAnsweringTo(heardAt + SETTLED_AFTER);
        assertTrue(longestTimeWithoutRelease(heardAt, callTimes.get(calls.size() - 1)) <= LIMIT);
        assertTrue(callTimes.get(calls.size() - 1) >= heardAt + POLICY.lateArrivalMicros());
        int releases = calls.size() - before;
        assertTrue(releases <= SETTLED_AFTER / POLICY.renewMicros() + 1, releases + " releases");
        assertEquals(0, table.size());
    }

    @Test
    void undeliveredPrefillIsReleasedUntilEngineRespondedAndHoldSettled() {
        openUnwanted(Hold.ofUndeliveredPrefill("r0", 0));
        assertReleasedWithinEachLimitWhileSilent();
        assertReleasedUntilSettled();
    }

    @Test
    void undeliveredPrefillIsReleasedForSomeTimeAfterEngineRemoval() {
        openUnwanted(Hold.ofUndeliveredPrefill("r0", 0));
        advanceAnsweringTo(10 * LIMIT);
        table.engineRemoved("r1", now);
        advanceAnsweringTo(now + 2 * LIMIT);
        assertEquals(1, table.size());
        int before = calls.size();
        table.engineRemoved("r0", now);
        long removedAt = now;
        advanceAnsweringTo(removedAt + REMOVED_AFTER);
        assertTrue(calls.size() > before, "no release after the engine was removed");
        assertTrue(callTimes.get(calls.size() - 1) >= removedAt + POLICY.removedEngineMicros());
        assertTrue(longestTimeWithoutRelease(removedAt, callTimes.get(calls.size() - 1)) <= LIMIT);
        assertEquals(0, table.size());
    }

    @Test
    void abandonedPrefillAtRunningEngineIsReleasedUntilSettled() {
        openUnwanted(Hold.ofGivenUpPrefill("r0", 0));
        advanceAnsweringTo(10_000);
        assertReleasedUntilSettled();
    }

    @Test
    void abandonedPrefillAtSuspendedEngineIsReleasedUntilResumedAndSettled() {
        openUnwanted(Hold.ofGivenUpPrefill("r0", 0));
        assertReleasedWithinEachLimitWhileSilent();
        assertReleasedUntilSettled();
    }

    /**
     * The stream consumes the state of another prefill, so the abandoned one may still create its
     * own.
     */
    @Test
    void streamDoesNotEndWaitForLateArrival() {
        table.addHold(KEY, Hold.ofUndeliveredPrefill("r0", 0), now);
        table.prefillCompleted(KEY, Hold.ofPrefillState("r1", ""), now);
        advanceTo(POLICY.settleMicros() - 1);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        advanceTo(2 * POLICY.settleMicros());
        table.streamStarted(KEY, now);
        assertEquals(1, table.size());
        long takenAt = now;
        advanceAnsweringTo(10 * LIMIT);
        assertTrue(
                longestTimeWithoutRelease(takenAt, now) <= LIMIT,
                "releases must go on, as the engine may continue behind a network partition");
        assertReleasedUntilSettled();
    }

    /** The engine responded, but may have been suspended again before it started the prefill. */
    @Test
    void streamDoesNotEndRepeatedReleases() {
        table.addHold(KEY, Hold.ofUndeliveredPrefill("r0", 0), now);
        table.prefillCompleted(KEY, Hold.ofPrefillState("r1", ""), now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptDelivered(KEY, now);
        table.engineResponded("r0", now);
        advanceTo(POLICY.renewMicros() - 1);
        assertEquals(0, calls.size());
        table.streamStarted(KEY, now);
        advanceTo(now);
        assertEquals(1, calls.size());
        answerLast(true);
        advanceAnsweringTo(POLICY.lateArrivalMicros());
        assertEquals(1, table.size());
        assertTrue(longestTimeWithoutRelease(0, callTimes.get(calls.size() - 1)) <= LIMIT);
        advanceAnsweringTo(SETTLED_AFTER);
        assertEquals(0, table.size());
    }

    /**
     * An engine that is dead but still listed must not cause more and more calls with each request.
     */
    @Test
    void releasesForSilentEnginePauseAndResumeOnceItResponds() {
        openUnwanted(Hold.ofUndeliveredPrefill("r0", 0));
        advanceAnsweringTo(POLICY.silentEngineMicros() + POLICY.renewMicros());
        int before = calls.size();
        advanceAnsweringTo(10 * POLICY.silentEngineMicros());
        assertEquals(before, calls.size());
        assertReleasedUntilSettled();
    }
}
