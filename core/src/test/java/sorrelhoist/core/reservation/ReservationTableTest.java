package sorrelhoist.core.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests reservations of single requests in virtual time. */
class ReservationTableTest extends ReservationTableTestSupport {
    @Test
    void unwantedStateIsReleasedAtOnceByOneCall() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        assertEquals(0, calls.size());
        table.markUnwanted(KEY, now);
        assertEquals("r0", lastCall().engine());
        answerLast(true);
        advanceTo(10 * LIMIT);
        assertEquals(1, calls.size());
        assertEquals(0, table.size());
    }

    @Test
    void lostPrefillIsReleasedAgainAfterSettlingTime() {
        table.addHold(KEY, Hold.ofLostPrefill("r0", 0), now);
        table.markUnwanted(KEY, now);
        answerLast(true);
        assertEquals(
                1, table.size(), "the hold stays, as the release may have overtaken the close");
        advanceTo(POLICY.settleMicros() - 1);
        assertEquals(1, calls.size());
        advanceTo(POLICY.settleMicros());
        assertEquals(2, calls.size());
        answerLast(true);
        assertEquals(0, table.size());
    }

    @Test
    void releaseInFlightDoesNotCoverLaterHold() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.markUnwanted(KEY, now);
        ReleaseCall first = lastCall();
        table.attemptSent(KEY, AttemptPurpose.PREFILL, "r0", now);
        table.attemptDelivered(KEY, now);
        now = 10_000;
        table.attemptEnded(KEY, AttemptEnding.ANSWERED, now);
        table.addHold(KEY, Hold.ofLostPrefill("r1", 1), now);
        table.markUnwanted(KEY, now);
        table.releaseCompleted(first.id(), true, now);
        assertEquals(1, table.size());
        advanceTo(now + POLICY.settleMicros());
        answerLast(true);
        assertEquals(0, table.size());
    }

    @Test
    void stateOfUnansweredDecodeIsReleasedOncePerLimit() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptDelivered(KEY, now);
        advanceAnsweringTo(10 * LIMIT);
        assertTrue(
                longestTimeWithoutRelease(0, now) <= LIMIT,
                "releases are needed, as the decode engine may be gone together with the request");
        assertEquals(10 * LIMIT / POLICY.renewMicros(), calls.size());
        table.streamStarted(KEY, now);
        assertEquals(0, table.size());
    }

    @Test
    void idleTimeContinuesWhileDecodeConnectionIsNotEstablished() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        for (int i = 0; i < 2; i++) {
            table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
            table.attemptConnecting(KEY, now);
            advanceTo(now + POLICY.idleMicros() / 2 - 1);
            assertEquals(0, calls.size());
            table.attemptEnded(KEY, AttemptEnding.NOT_SENT, now);
        }
        advanceTo(POLICY.idleMicros());
        assertEquals(1, calls.size());
    }

    @Test
    void stateIsReleasedWhenDecodeConnectionWasNeverEstablished() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.markUnwanted(KEY, now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptConnecting(KEY, now);
        assertEquals(
                1, abandoned.size(), "the attempt needs the state, so its release is abandoned");
        now = 10_000;
        table.attemptEnded(KEY, AttemptEnding.NOT_SENT, now);
        advanceTo(now);
        assertEquals(2, calls.size(), "the release is due at once, as before the attempt");
        answerLast(true);
        table.attemptEnded(KEY, AttemptEnding.NOT_SENT, now);
        advanceTo(10 * LIMIT);
        assertEquals(2, calls.size(), "the state is released only once");
        table.attemptEnded(ReservationKey.ofRequest("b"), AttemptEnding.NOT_SENT, now);
        assertEquals(2, calls.size());
    }

    @Test
    void consumedStateIsNotTracked() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.markUnwanted(KEY, now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptDelivered(KEY, now);
        table.streamStarted(KEY, now);
        table.attemptEnded(KEY, AttemptEnding.ANSWERED, now);
        advanceTo(10 * LIMIT);
        assertEquals(1, calls.size(), "only the release before the attempt");
        assertEquals(0, table.size());
    }

    @Test
    void answerOfDecodeEngineRestartsIdleTime() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptDelivered(KEY, now);
        advanceTo(POLICY.renewMicros() - 1);
        table.attemptEnded(KEY, AttemptEnding.ANSWERED, now);
        advanceTo(now + POLICY.idleMicros() - 1);
        assertEquals(0, calls.size());
        advanceTo(now + 1);
        assertEquals(1, calls.size());
    }

    @Test
    void lostPrefillIsReleasedDuringAnotherPrefillButNotAfterItCompleted() {
        table.addHold(KEY, Hold.ofLostPrefill("r0", 0), now);
        table.attemptSent(KEY, AttemptPurpose.PREFILL, "r0", now);
        table.attemptDelivered(KEY, now);
        advanceTo(POLICY.idleMicros());
        assertEquals(
                1, calls.size(), "a release is due, as the second prefill may never have arrived");
        table.attemptEnded(KEY, AttemptEnding.ANSWERED, now);
        table.prefillCompleted(KEY, Hold.ofPrefillState("r1", ""), now);
        assertEquals(
                List.of(lastCall().id()),
                abandoned,
                "the release would remove the second state as well");
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptDelivered(KEY, now);
        advanceTo(now + POLICY.renewMicros() - 1);
        assertEquals(1, calls.size());
    }

    @Test
    void streamConsumesAllHoldsExceptLateArrivals() {
        table.addHold(KEY, Hold.ofLostPrefill("r0", 0), now);
        now = 50_000;
        table.prefillCompleted(KEY, Hold.ofPrefillState("r1", ""), now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptDelivered(KEY, now);
        table.streamStarted(KEY, now);
        assertEquals(1, table.size());
        advanceTo(POLICY.settleMicros());
        assertEquals(1, calls.size());
        answerLast(true);
        assertEquals(0, table.size());
    }

    /**
     * The holder is dead and a second engine does not answer; the third one still receives the
     * release before the limit.
     */
    @Test
    void releaseArrivesBeforeLimitAlthoughTwoEnginesDoNotAnswer() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        advanceTo(LIMIT);
        assertEquals(
                POLICY.idleMicros(),
                callTimes.get(0),
                "the first release is sent after half the limit");
        assertTrue(callTimes.get(2) <= LIMIT - POLICY.safetyMarginMicros(), callTimes.toString());
        assertEquals(3, calls.stream().limit(3).map(ReleaseCall::engine).distinct().count());
    }

    @Test
    void failedReleasesAreRetriedElsewhereAtOnceButBounded() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.markUnwanted(KEY, now);
        for (int i = 0; i < 4; i++) {
            assertEquals(i + 1, calls.size());
            answerLast(false);
        }
        assertEquals(4, calls.size());
        advanceTo(2 * POLICY.retryMicros());
        assertTrue(calls.size() > 4, "calls must continue after the retry interval");
    }

    @Test
    void silentHolderIsNotCalledFirst() {
        engines.bytesReceived("w0", 10 * LIMIT);
        now = 10 * LIMIT;
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.markUnwanted(KEY, now);
        assertEquals("w0", lastCall().engine());
    }

    @Test
    void releasesAreSpreadOverMostRecentlyActiveEngines() {
        engines.removed("r0");
        for (int i = 0; i < 4; i++) {
            ReservationKey key = ReservationKey.ofRequest("k" + i);
            table.prefillCompleted(key, Hold.ofPrefillState("r0", ""), now);
            table.markUnwanted(key, now);
        }
        assertTrue(
                calls.stream().map(ReleaseCall::engine).distinct().count() >= 3, calls.toString());
    }

    @Test
    void unreleasedStateIsReportedOnceAndRetriedUntilReleased() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.markUnwanted(KEY, now);
        advanceTo(POLICY.expiryMicros() - 1);
        assertEquals(0, table.expiredCount());
        assertEquals(1, table.releasableCount());
        advanceTo(POLICY.expiryMicros());
        assertEquals(1, table.expiredCount());
        assertEquals(1, expired.size());
        assertTrue(expired.get(0).startsWith("a at "), expired.get(0));
        assertEquals(0, table.releaseCallsInFlight());
        assertTrue(
                calls.size() <= 10, calls.size() + " calls for a release that no engine answers");
        assertEquals(0, table.releasableCount(), "shutdown must not wait for it");
        int before = calls.size();
        advanceTo(11 * POLICY.expiryMicros());
        assertEquals(before + 10, calls.size());
        assertEquals(1, table.releaseCallsInFlight(), "the earlier calls are abandoned");
        assertEquals(1, expired.size());
        answerLast(true);
        assertEquals(0, table.size());
        advanceTo(20 * POLICY.expiryMicros());
        assertEquals(before + 10, calls.size());
    }

    @Test
    void answerToAbandonedCallIsIgnored() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.markUnwanted(KEY, now);
        ReleaseCall first = lastCall();
        advanceTo(POLICY.retryMicros());
        answerLast(true);
        assertEquals(List.of(first.id()), abandoned);
        table.releaseCompleted(first.id(), true, now);
        table.releaseCompleted(99, true, now);
        assertEquals(0, table.size());
    }

    @Test
    void fullTableEvictsOldestUnwantedReservation() {
        for (int i = 0; i < 2 * CAPACITY; i++) {
            ReservationKey key = ReservationKey.ofRequest("k" + i);
            table.prefillCompleted(key, Hold.ofPrefillState("r0", ""), now);
            table.markUnwanted(key, now);
        }
        assertEquals(CAPACITY, table.size());
        assertEquals(CAPACITY, table.expiredCount());
        assertEquals(CAPACITY, table.releaseCallsInFlight());
    }

    @Test
    void requestWithSameNameKeepsEarlierHolds() {
        table.addHold(KEY, Hold.ofLostPrefill("r0", 0), now);
        table.markUnwanted(KEY, now);
        table.attemptSent(KEY, AttemptPurpose.PREFILL, "r0", now);
        table.attemptDelivered(KEY, now);
        answerLast(true);
        assertEquals(1, table.size());
        advanceTo(POLICY.idleMicros());
        assertEquals(2, calls.size(), "the hold of the earlier request is still released");
    }

    @Test
    void decodeSlotIsKeptDuringPrefillAndReleasedAfterwards() {
        table.addHold(KEY, Hold.ofDecodeSlot("w0", "p", Hold.Certainty.CONFIRMED), now);
        table.attemptSent(KEY, AttemptPurpose.PREFILL, "r0", now);
        table.attemptDelivered(KEY, now);
        advanceTo(5 * LIMIT);
        assertEquals(0, calls.size());
        table.attemptEnded(KEY, AttemptEnding.ANSWERED, now);
        table.markUnwanted(KEY, now);
        assertEquals(1, calls.size());
    }

    @Test
    void undeliveredDecodeDoesNotStopIdleTime() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptConnecting(KEY, now);
        table.attemptWritten(KEY, now);
        advanceTo(POLICY.idleMicros());
        assertEquals(1, calls.size());
    }

    @Test
    void secondDecodeHasBoundedTimeToBeConfirmed() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        advanceTo(POLICY.idleMicros() - 1);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptConnecting(KEY, now);
        table.attemptWritten(KEY, now);
        advanceTo(POLICY.latestStartMicros() - 1);
        assertEquals(0, calls.size());
        advanceTo(POLICY.latestStartMicros());
        assertEquals(1, calls.size());
    }

    @Test
    void inferredDeliveryPostponesReleaseByBoundedTime() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptConnecting(KEY, now);
        table.attemptWritten(KEY, now);
        advanceTo(POLICY.idleMicros() - 1);
        table.attemptDelivered(KEY, now);
        advanceTo(POLICY.renewMicros() - 1);
        assertEquals(0, calls.size());
        advanceTo(POLICY.renewMicros());
        assertEquals(1, calls.size());
    }
}
