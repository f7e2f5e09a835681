package sorrelhoist.core.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests reservations of single requests in virtual time. */
class ReservationTableTest extends ReservationTableTestSupport {
    @Test
    void aStateThatNothingWantsIsReleasedAtOnceByOneCall() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        assertEquals(0, calls.size());
        table.unwanted(KEY, now);
        assertEquals("r0", lastCall().engine());
        answerLast(true);
        passTo(10 * LIMIT);
        assertEquals(1, calls.size());
        assertEquals(0, table.size());
    }

    @Test
    void whatALostReadMayLeaveIsReleasedOnceMoreWhenNothingOfItCanArrive() {
        table.opened(KEY, Hold.ofLostPrefill("r0", 0), now);
        table.unwanted(KEY, now);
        answerLast(true);
        assertEquals(
                1, table.size(), "the hold stays, as the release may have overtaken the close");
        passTo(POLICY.settleMicros() - 1);
        assertEquals(1, calls.size());
        passTo(POLICY.settleMicros());
        assertEquals(2, calls.size());
        answerLast(true);
        assertEquals(0, table.size());
    }

    @Test
    void aReleaseUnderWayDoesNotCoverWhatIsOpenedAfterIt() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.unwanted(KEY, now);
        ReleaseCall first = lastCall();
        table.attemptSent(KEY, AttemptPurpose.PREFILL, "r0", now);
        table.attemptDelivered(KEY, now);
        now = 10_000;
        table.attemptEnded(KEY, AttemptEnding.ANSWERED, now);
        table.opened(KEY, Hold.ofLostPrefill("r1", 1), now);
        table.unwanted(KEY, now);
        table.releaseCompleted(first.id(), true, now);
        assertEquals(1, table.size());
        passTo(now + POLICY.settleMicros());
        answerLast(true);
        assertEquals(0, table.size());
    }

    @Test
    void aStateOfADecodeThatWasNotAnsweredIsReleasedWithinEachLimitAndNoMoreOften() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptDelivered(KEY, now);
        passAnsweringTo(10 * LIMIT);
        assertTrue(
                longestPause(0, now) <= LIMIT,
                "releases are needed, as the decode engine may be gone together with the request");
        assertEquals(10 * LIMIT / POLICY.renewMicros(), calls.size());
        table.taken(KEY, now);
        assertEquals(0, table.size());
    }

    @Test
    void timeRunsOnWhileAWritersConnectionDoesNotComeUp() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        for (int i = 0; i < 2; i++) {
            table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
            table.attemptConnecting(KEY, now);
            passTo(now + POLICY.idleMicros() / 2 - 1);
            assertEquals(0, calls.size());
            table.attemptEnded(KEY, AttemptEnding.NOT_SENT, now);
        }
        passTo(POLICY.idleMicros());
        assertEquals(1, calls.size());
    }

    @Test
    void whatAnAttemptWasToTakeIsReleasedWhenItsConnectionNeverCameUp() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.unwanted(KEY, now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptConnecting(KEY, now);
        assertEquals(
                1, abandoned.size(), "the attempt needs the state, so its release is abandoned");
        now = 10_000;
        table.attemptEnded(KEY, AttemptEnding.NOT_SENT, now);
        passTo(now);
        assertEquals(2, calls.size(), "the release is due at once, as before the attempt");
        answerLast(true);
        table.attemptEnded(KEY, AttemptEnding.NOT_SENT, now);
        passTo(10 * LIMIT);
        assertEquals(2, calls.size(), "the state is released only once");
        table.attemptEnded(ReservationKey.ofRequest("b"), AttemptEnding.NOT_SENT, now);
        assertEquals(2, calls.size());
    }

    @Test
    void whatAnAttemptReachedIsItsOwnAndNothingIsKeptOfIt() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.unwanted(KEY, now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptDelivered(KEY, now);
        table.taken(KEY, now);
        table.attemptEnded(KEY, AttemptEnding.ANSWERED, now);
        passTo(10 * LIMIT);
        assertEquals(1, calls.size(), "only the release before the attempt");
        assertEquals(0, table.size());
    }

    @Test
    void anAnswerOfTheWriterBeginsTheTimeAnew() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptDelivered(KEY, now);
        passTo(POLICY.renewMicros() - 1);
        table.attemptEnded(KEY, AttemptEnding.ANSWERED, now);
        passTo(now + POLICY.idleMicros() - 1);
        assertEquals(0, calls.size());
        passTo(now + 1);
        assertEquals(1, calls.size());
    }

    @Test
    void whatALostReadLeftIsReleasedBesideAnotherReadButNotOnceThatOneHasEnded() {
        table.opened(KEY, Hold.ofLostPrefill("r0", 0), now);
        table.attemptSent(KEY, AttemptPurpose.PREFILL, "r0", now);
        table.attemptDelivered(KEY, now);
        passTo(POLICY.idleMicros());
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
        passTo(now + POLICY.renewMicros() - 1);
        assertEquals(1, calls.size());
    }

    @Test
    void aStreamTakesAllButWhatMayStillArrive() {
        table.opened(KEY, Hold.ofLostPrefill("r0", 0), now);
        now = 50_000;
        table.prefillCompleted(KEY, Hold.ofPrefillState("r1", ""), now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptDelivered(KEY, now);
        table.taken(KEY, now);
        assertEquals(1, table.size());
        passTo(POLICY.settleMicros());
        assertEquals(1, calls.size());
        answerLast(true);
        assertEquals(0, table.size());
    }

    /**
     * The holder is dead and a second engine does not answer; the third one still receives the
     * release before the limit.
     */
    @Test
    void aReleaseArrivesWithTimeToSpareThoughTwoEnginesDoNotAnswer() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        passTo(LIMIT);
        assertEquals(
                POLICY.idleMicros(),
                callTimes.get(0),
                "the first release is sent after half the limit");
        assertTrue(callTimes.get(2) <= LIMIT - POLICY.safetyMarginMicros(), callTimes.toString());
        assertEquals(3, calls.stream().limit(3).map(ReleaseCall::engine).distinct().count());
    }

    @Test
    void enginesThatRefuseAreFollowedByOthersAtOnceButNotWithoutEnd() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.unwanted(KEY, now);
        for (int i = 0; i < 4; i++) {
            assertEquals(i + 1, calls.size());
            answerLast(false);
        }
        assertEquals(4, calls.size());
        passTo(2 * POLICY.retryMicros());
        assertTrue(calls.size() > 4, "calls must continue after the retry interval");
    }

    @Test
    void aHolderThatIsSilentWhileOthersSpeakIsNotAskedFirst() {
        engines.bytesReceived("w0", 10 * LIMIT);
        now = 10 * LIMIT;
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.unwanted(KEY, now);
        assertEquals("w0", lastCall().engine());
    }

    @Test
    void manyReleasesAreSpreadOverTheEnginesHeardLast() {
        engines.removed("r0");
        for (int i = 0; i < 4; i++) {
            ReservationKey key = ReservationKey.ofRequest("k" + i);
            table.prefillCompleted(key, Hold.ofPrefillState("r0", ""), now);
            table.unwanted(key, now);
        }
        assertTrue(
                calls.stream().map(ReleaseCall::engine).distinct().count() >= 3, calls.toString());
    }

    @Test
    void whatNoEngineReleasesIsReportedOnceAndTriedNowAndThenUntilOneDoes() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.unwanted(KEY, now);
        passTo(POLICY.expiryMicros() - 1);
        assertEquals(0, table.expiredCount());
        assertEquals(1, table.releasableCount());
        passTo(POLICY.expiryMicros());
        assertEquals(1, table.expiredCount());
        assertEquals(1, expired.size());
        assertTrue(expired.get(0).startsWith("a at "), expired.get(0));
        assertEquals(0, table.releaseCallsInFlight());
        assertTrue(
                calls.size() <= 10, calls.size() + " calls for a release that no engine answers");
        assertEquals(0, table.releasableCount(), "shutdown must not wait for it");
        int before = calls.size();
        passTo(11 * POLICY.expiryMicros());
        assertEquals(before + 10, calls.size());
        assertEquals(1, table.releaseCallsInFlight(), "the earlier calls are abandoned");
        assertEquals(1, expired.size());
        answerLast(true);
        assertEquals(0, table.size());
        passTo(20 * POLICY.expiryMicros());
        assertEquals(before + 10, calls.size());
    }

    @Test
    void anAnswerThatComesAfterItsCallWasAbandonedChangesNothing() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.unwanted(KEY, now);
        ReleaseCall first = lastCall();
        passTo(POLICY.retryMicros());
        answerLast(true);
        assertEquals(List.of(first.id()), abandoned);
        table.releaseCompleted(first.id(), true, now);
        table.releaseCompleted(99, true, now);
        assertEquals(0, table.size());
    }

    @Test
    void theTableIsBoundedAndTheOldestThatNothingWantsMakesRoom() {
        for (int i = 0; i < 2 * MOST; i++) {
            ReservationKey key = ReservationKey.ofRequest("k" + i);
            table.prefillCompleted(key, Hold.ofPrefillState("r0", ""), now);
            table.unwanted(key, now);
        }
        assertEquals(MOST, table.size());
        assertEquals(MOST, table.expiredCount());
        assertEquals(MOST, table.releaseCallsInFlight());
    }

    @Test
    void aRequestWithTheSameNameKeepsWhatTheEarlierOneLeft() {
        table.opened(KEY, Hold.ofLostPrefill("r0", 0), now);
        table.unwanted(KEY, now);
        table.attemptSent(KEY, AttemptPurpose.PREFILL, "r0", now);
        table.attemptDelivered(KEY, now);
        answerLast(true);
        assertEquals(1, table.size());
        passTo(POLICY.idleMicros());
        assertEquals(2, calls.size(), "the hold of the earlier request is still released");
    }

    @Test
    void aPlaceIsKeptWhileItsRequestIsReadAndReleasedWithIt() {
        table.opened(KEY, Hold.ofDecodeSlot("w0", "p", Hold.Certainty.CONFIRMED), now);
        table.attemptSent(KEY, AttemptPurpose.PREFILL, "r0", now);
        table.attemptDelivered(KEY, now);
        passTo(5 * LIMIT);
        assertEquals(0, calls.size());
        table.attemptEnded(KEY, AttemptEnding.ANSWERED, now);
        table.unwanted(KEY, now);
        assertEquals(1, calls.size());
    }

    @Test
    void aDecodeThatWasWrittenAndNotDeliveredDoesNotStopTheTimeOfItsState() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptConnecting(KEY, now);
        table.attemptWritten(KEY, now);
        passTo(POLICY.idleMicros());
        assertEquals(1, calls.size());
    }

    @Test
    void aSecondDecodeHasAMomentToBeConfirmedButNoMoreThanTheLimitAllows() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        passTo(POLICY.idleMicros() - 1);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptConnecting(KEY, now);
        table.attemptWritten(KEY, now);
        passTo(POLICY.latestStartMicros() - 1);
        assertEquals(0, calls.size());
        passTo(POLICY.latestStartMicros());
        assertEquals(1, calls.size());
    }

    @Test
    void aDecodeThatCountsAsDeliveredPutsTheReleaseOffNoLongerThanTheLimitAllows() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptConnecting(KEY, now);
        table.attemptWritten(KEY, now);
        passTo(POLICY.idleMicros() - 1);
        table.attemptDelivered(KEY, now);
        passTo(POLICY.renewMicros() - 1);
        assertEquals(0, calls.size());
        passTo(POLICY.renewMicros());
        assertEquals(1, calls.size());
    }
}
