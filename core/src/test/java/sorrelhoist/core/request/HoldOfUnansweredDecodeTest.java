package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * A decode that never arrives, or is over at its engine without a word, stops no clock: only an
 * answer on its own connection shows that its engine has it.
 */
class HoldOfUnansweredDecodeTest extends AnsweringEnginesTestSupport {
    private static final long MICROS_PER_MILLI = 1000;
    private static final long LIMIT_MILLIS = Fleet.RELEASE / MICROS_PER_MILLI;
    private static final long ONE_WAY_MICROS = 4 * STEP;

    /** After which a release that no engine has answered is reported. */
    private static final long EXPIRY_MICROS = 4 * Fleet.RELEASE;

    /** Under way at once: the limit is over before a fifth is due. */
    private static final int RELEASES_ON_THEIR_WAY = 4;

    /** Bytes of a running stream left the engine before the decode arrived there; then it hangs. */
    private void engineHangsRightAfterSending(String engine) {
        passAnsweringTo(now + ONE_WAY_MICROS);
        streamEventReceived(engine);
        silentEngines.add(engine);
    }

    @Test
    void bytesSentBeforeADecodeArrivedDoNotKeepItsStateFromBeingReleased() {
        Command.StartDecode decode = decodeWritten(Fleet.UNSAFE);
        engineHangsRightAfterSending(decode.engine());
        passAnsweringTo(PREFILLED + Fleet.RELEASE);
        assertTrue(releases() > 0, "bytes that came 4 ms after the decode spoke for it");
    }

    @Test
    void bytesSentBeforeADecodeArrivedDoNotKeepItFromBeingSentElsewhere() {
        Command.StartDecode decode = decodeWritten(Fleet.SAFE);
        engineHangsRightAfterSending(decode.engine());
        passAnsweringTo(PREFILLED + Fleet.RELEASE);
        int decodes = all(Command.StartDecode.class).size();
        assertEquals(2, decodes, "bytes that came 4 ms after the decode spoke for it");
    }

    /** Nothing orders two connections: the call may have overtaken the decode. */
    @Test
    void anAnswerToACallThatOvertookADecodeDoesNotKeepItsStateFromBeingReleased() {
        Command.StartDecode decode = decodeWritten(Fleet.UNSAFE);
        long writtenAt = now;
        passAnsweringTo(now + ONE_WAY_MICROS - STEP);
        questionAnswered(decode.engine(), writtenAt);
        silentEngines.add(decode.engine());
        passAnsweringTo(PREFILLED + Fleet.RELEASE);
        assertTrue(releases() > 0, "the answer to another call spoke for the decode");
    }

    /** Its engine answers questions on other connections; it may not be repeated elsewhere. */
    @Test
    void aStateWhoseDecodeIsUnansweredIsReleasedWithinEveryLimitUntilTheDecodeHasEnded() {
        decodeWritten(Fleet.UNSAFE);
        passUntilTheDecodeIsGivenUp();
        passAnsweringTo(now + Fleet.RELEASE);
        long pause = longestPauseMillis(PREFILLED, now);
        assertTrue(pause <= LIMIT_MILLIS, "no release for " + pause + " ms");
    }

    /** Its connection takes so long to come up that releases begin. */
    private Command.StartDecode decodeWrittenWhileReleasesAreOnTheirWay() {
        client = router.requestArrived(now, Fleet.call(Fleet.UNSAFE, 10, BUDGET));
        Command.StartPrefill prefill = all(Command.StartPrefill.class).get(0);
        written(prefill);
        passTo(PREFILLED);
        router.prefillCompleted(now, prefill.attempt(), "", 0, ServerLoad.NONE);
        Command.StartDecode decode = all(Command.StartDecode.class).get(0);
        router.attemptConnecting(now, decode.attempt());
        while (releases() < RELEASES_ON_THEIR_WAY) {
            assertTrue(now < PREFILLED + Fleet.RELEASE, "only " + releases() + " releases");
            passTo(now + STEP);
        }
        router.attemptWritten(now, decode.attempt());
        return decode;
    }

    private void passUntilTheDecodeIsGivenUp() {
        while (all(Command.CancelAttempt.class).isEmpty()) {
            assertTrue(now < 2 * BUDGET, "not given up by the end of the client's time");
            passAnsweringTo(now + STEP);
        }
    }

    private void assertKeptAndReleasedAfterTheDecode() {
        passUntilTheDecodeIsGivenUp();
        long endedAt = now;
        passAnsweringTo(endedAt + EXPIRY_MICROS);
        boolean released = wasReleasedBetween(endedAt, endedAt + Fleet.RELEASE);
        assertTrue(released, "no release within the limit after the end of the decode");
        assertEquals(List.of(), all(Command.ReportExpiredRelease.class), "engines answer");
    }

    @Test
    void aHoldWhoseReleasesWereOnTheirWayAsItsDecodeWasWrittenDoesNotExpire() {
        decodeWrittenWhileReleasesAreOnTheirWay();
        assertKeptAndReleasedAfterTheDecode();
    }

    @Test
    void aHoldDoesNotExpireWhereOneOfItsReleasesIsLostAndTheOthersAreAnswered() {
        decodeWrittenWhileReleasesAreOnTheirWay();
        silentEngines.add(all(Command.ReleaseReservation.class).get(1).engine());
        assertKeptAndReleasedAfterTheDecode();
    }

    /** A question was answered meanwhile: the decode counts as delivered until it is given up. */
    @Test
    void aHoldDoesNotExpireAsADecodeEndsThatWasWrittenWhileItsReleasesWereOnTheirWay() {
        Command.StartDecode decode = decodeWrittenWhileReleasesAreOnTheirWay();
        silentEngines.add(all(Command.ReleaseReservation.class).get(1).engine());
        passAnsweringTo(now + 10 * STEP);
        questionAnswered(decode.engine(), now - STEP);
        assertKeptAndReleasedAfterTheDecode();
    }

    @Test
    void anAttemptOfWhichTheTransportSaysNothingDoesNotStopTheTimeOfAState() {
        router.requestArrived(now, Fleet.call(Fleet.UNSAFE, 10, BUDGET));
        Command.StartAttempt prefill = written(all(Command.StartPrefill.class).get(0));
        passAnsweringTo(PREFILLED);
        router.prefillCompleted(now, prefill.attempt(), "", 0, ServerLoad.NONE);
        assertEquals(1, all(Command.StartDecode.class).size());
        passAnsweringTo(PREFILLED + Fleet.RELEASE);
        assertTrue(releases() > 0, "nothing was released");
    }
}
