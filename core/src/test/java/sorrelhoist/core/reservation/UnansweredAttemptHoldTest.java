package sorrelhoist.core.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the holds of unanswered attempts while other events occur. */
class UnansweredAttemptHoldTest extends ReservationTableTestSupport {
    private static final long MILLI = 1000;

    /**
     * Sends a decode whose delivery is inferred from another connection; its own connection may be
     * silent.
     */
    private void sendDecodeWithInferredDelivery(String engine) {
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, engine, now);
        table.attemptConnecting(KEY, now);
        table.attemptWritten(KEY, now);
        table.attemptDelivered(KEY, now);
    }

    private void holdStateWithInferredDecodeDelivery() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        sendDecodeWithInferredDelivery("w0");
    }

    /** The first decode is abandoned just before the release that is due while it is in flight. */
    @Test
    void endOfDecodeWithInferredDeliveryDoesNotRestartIdleTime() {
        holdStateWithInferredDecodeDelivery();
        advanceAnsweringTo(POLICY.renewMicros() - MILLI);
        table.attemptEnded(KEY, AttemptEnding.GIVEN_UP, now);
        sendDecodeWithInferredDelivery("w1");
        advanceAnsweringTo(2 * LIMIT);
        long pause = longestTimeWithoutRelease(0, now);
        assertTrue(pause <= LIMIT, "no release for " + pause + " us");
    }

    @Test
    void responseOfUnrelatedEngineDoesNotAdvanceReleases() {
        holdStateWithInferredDecodeDelivery();
        advanceAnsweringTo(POLICY.renewMicros());
        assertEquals(1, calls.size());
        while (now < 2 * POLICY.renewMicros() - 10 * MILLI) {
            table.engineResponded("r1", now);
            advanceAnsweringTo(now + 10 * MILLI);
        }
        assertEquals(1, calls.size(), "a response of an unrelated engine must not cause a release");
    }

    /** The first of two releases was delayed at a suspended engine, and so is its answer. */
    @Test
    void lateAnswerDoesNotPostponeNextReleaseDuringDecode() {
        holdStateWithInferredDecodeDelivery();
        advanceTo(POLICY.renewMicros() + POLICY.retryMicros());
        assertEquals(2, calls.size());
        answerLast(true);
        long answeredAt = now;
        advanceTo(answeredAt + POLICY.renewMicros() - MILLI);
        table.releaseCompleted(calls.get(0).id(), true, now);
        advanceAnsweringTo(answeredAt + 2 * LIMIT);
        long pause = longestTimeWithoutRelease(answeredAt, now);
        assertTrue(pause <= LIMIT, "no release for " + pause + " us");
    }

    @Test
    void shutdownDoesNotWaitForRepeatedReleaseOfReleasedHold() {
        table.addHold(KEY, Hold.ofUndeliveredPrefill("r0", 0), now);
        table.markUnwanted(KEY, now);
        answerLast(true);
        advanceAnsweringTo(2 * LIMIT);
        assertEquals(0, table.releasableCount());
        int before = calls.size();
        while (calls.size() == before) {
            advanceTo(now + MILLI);
        }
        assertEquals(
                0, table.releasableCount(), "a repeated release in flight must not delay shutdown");
    }

    /**
     * The prompt is long or queued behind others, and the close of the silent connection never
     * arrives.
     */
    @Test
    void prefillEndingTwoSecondsAfterEngineRespondedIsReleasedInTime() {
        table.addHold(KEY, Hold.ofGivenUpPrefill("r0", 0), now);
        table.markUnwanted(KEY, now);
        answerLast(true);
        advanceAnsweringTo(10 * MILLI);
        table.engineResponded("r0", now);
        long readAt = now + 4 * LIMIT;
        advanceAnsweringTo(readAt + LIMIT);
        boolean released = callTimes.stream().anyMatch(time -> time >= readAt);
        long last = callTimes.get(callTimes.size() - 1);
        assertTrue(
                released,
                "the last release was sent " + (readAt - last) + " us before the prefill ended");
    }

    /**
     * A suspended engine is removed from the list as unresponsive, resumes, and is listed again.
     */
    @Test
    void stateOfUnresponsiveRemovedEngineIsReleasedOnceListedAgain() {
        table.addHold(KEY, Hold.ofUndeliveredPrefill("r0", 0), now);
        table.markUnwanted(KEY, now);
        answerLast(true);
        advanceAnsweringTo(2 * LIMIT);
        table.engineRemoved("r0", now);
        engines.removed("r0");
        advanceAnsweringTo(8 * LIMIT);
        engines.added("r0");
        long backAt = now;
        table.engineResponded("r0", now);
        advanceAnsweringTo(backAt + LIMIT);
        assertTrue(
                callTimes.stream().anyMatch(time -> time > backAt),
                "no release since the engine was listed again");
    }
}
