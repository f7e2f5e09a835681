package sorrelhoist.core.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Holds of attempts that no engine has answered, where something else happens meanwhile. */
class LeaseOfUnansweredAttemptsTest extends ReservationTableTestSupport {
    private static final long MILLI = 1000;

    /** Another connection speaks for it; its own may be silent. */
    private void decodeThatOnlyOthersSpeakFor(String engine) {
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, engine, now);
        table.attemptConnecting(KEY, now);
        table.attemptWritten(KEY, now);
        table.attemptDelivered(KEY, now);
    }

    private void stateWithDecodeThatOnlyOthersSpeakFor() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        decodeThatOnlyOthersSpeakFor("w0");
    }

    /** The first is given up just before the release that is due beside it. */
    @Test
    void theEndOfADecodeThatOnlyOthersSpokeForDoesNotRestartTheTimeOfItsState() {
        stateWithDecodeThatOnlyOthersSpeakFor();
        passAnsweringTo(POLICY.renewMicros() - MILLI);
        table.attemptEnded(KEY, AttemptEnding.GIVEN_UP, now);
        decodeThatOnlyOthersSpeakFor("w1");
        passAnsweringTo(2 * LIMIT);
        long pause = longestPause(0, now);
        assertTrue(pause <= LIMIT, "no release for " + pause + " us");
    }

    @Test
    void anEngineThatIsHeardHastensNoReleaseOfHoldsThatDoNotAwaitIt() {
        stateWithDecodeThatOnlyOthersSpeakFor();
        passAnsweringTo(POLICY.renewMicros());
        assertEquals(1, calls.size());
        while (now < 2 * POLICY.renewMicros() - 10 * MILLI) {
            table.engineHeard("r1", now);
            passAnsweringTo(now + 10 * MILLI);
        }
        assertEquals(1, calls.size(), "each sign of life of another engine is a release");
    }

    /** The first release of two lay at a stopped engine; its answer is as late. */
    @Test
    void aLateAnswerDoesNotPutTheNextReleaseBesideADecodeOff() {
        stateWithDecodeThatOnlyOthersSpeakFor();
        passTo(POLICY.renewMicros() + POLICY.retryMicros());
        assertEquals(2, calls.size());
        answerLast(true);
        long answeredAt = now;
        passTo(answeredAt + POLICY.renewMicros() - MILLI);
        table.releaseCompleted(calls.get(0).id(), true, now);
        passAnsweringTo(answeredAt + 2 * LIMIT);
        long pause = longestPause(answeredAt, now);
        assertTrue(pause <= LIMIT, "no release for " + pause + " us");
    }

    @Test
    void anExitDoesNotWaitForTheRenewalOfAHoldThatWasReleased() {
        table.opened(KEY, Hold.ofUndeliveredPrefill("r0", 0), now);
        table.unwanted(KEY, now);
        answerLast(true);
        passAnsweringTo(2 * LIMIT);
        assertEquals(0, table.releasableCount());
        int before = calls.size();
        while (calls.size() == before) {
            passTo(now + MILLI);
        }
        assertEquals(0, table.releasableCount(), "a renewal on its way keeps the process");
    }

    /** A long prompt, or one behind others; the close of its silent connection never arrives. */
    @Test
    void aReadThatEndsTwoSecondsAfterItsEngineWasHeardIsReleasedInTime() {
        table.opened(KEY, Hold.ofGivenUpPrefill("r0", 0), now);
        table.unwanted(KEY, now);
        answerLast(true);
        passAnsweringTo(10 * MILLI);
        table.engineHeard("r0", now);
        long readAt = now + 4 * LIMIT;
        passAnsweringTo(readAt + LIMIT);
        boolean released = callTimes.stream().anyMatch(time -> time >= readAt);
        long last = callTimes.get(callTimes.size() - 1);
        assertTrue(released, "the last release was sent " + (readAt - last) + " us before");
    }

    /** A stopped engine is taken off the list as silent; it runs again and is listed again. */
    @Test
    void whatAnEngineReadsThatLeftTheListUnheardIsReleasedOnceItIsListedAgain() {
        table.opened(KEY, Hold.ofUndeliveredPrefill("r0", 0), now);
        table.unwanted(KEY, now);
        answerLast(true);
        passAnsweringTo(2 * LIMIT);
        table.engineRemoved("r0", now);
        engines.removed("r0");
        passAnsweringTo(8 * LIMIT);
        engines.added("r0");
        long backAt = now;
        table.engineHeard("r0", now);
        passAnsweringTo(backAt + LIMIT);
        assertTrue(callTimes.stream().anyMatch(time -> time > backAt), "no release since it left");
    }
}
