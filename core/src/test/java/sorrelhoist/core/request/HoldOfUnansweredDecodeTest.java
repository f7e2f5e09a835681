package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * A decode that never arrives, or that its engine ends without a response, must not suspend the
 * time limit of the state that is held for it. Only an answer on the decode's own connection shows
 * that its engine has the decode; bytes on other connections do not.
 */
class HoldOfUnansweredDecodeTest extends AnsweringEnginesTestSupport {
    private static final long MICROS_PER_MILLI = 1000;
    private static final long LIMIT_MILLIS = Fleet.RELEASE / MICROS_PER_MILLI;
    private static final long ONE_WAY_MICROS = 4 * STEP;

    /** Time after which a release that no engine has answered is reported as expired. */
    private static final long EXPIRY_MICROS = 4 * Fleet.RELEASE;

    /**
     * Number of release calls in flight at the same time; the time limit passes before a fifth one
     * is due.
     */
    private static final int RELEASES_IN_FLIGHT = 4;

    /** The engine sends bytes of a running stream before the decode arrives, and then hangs. */
    private void engineHangsRightAfterSending(String engine) {
        advanceAnsweringTo(now + ONE_WAY_MICROS);
        reportStreamBytes(engine);
        silentEngines.add(engine);
    }

    @Test
    void bytesSentBeforeADecodeArrivedDoNotKeepItsStateFromBeingReleased() {
        Command.StartDecode decode = startWrittenDecode(Fleet.UNSAFE);
        engineHangsRightAfterSending(decode.engine());
        advanceAnsweringTo(PREFILLED + Fleet.RELEASE);
        assertTrue(
                releases() > 0,
                "stream bytes received 4 ms after the decode counted as its delivery");
    }

    @Test
    void bytesSentBeforeADecodeArrivedDoNotKeepItFromBeingSentElsewhere() {
        Command.StartDecode decode = startWrittenDecode(Fleet.SAFE);
        engineHangsRightAfterSending(decode.engine());
        advanceAnsweringTo(PREFILLED + Fleet.RELEASE);
        int decodes = all(Command.StartDecode.class).size();
        assertEquals(
                2, decodes, "stream bytes received 4 ms after the decode counted as its delivery");
    }

    /** There is no ordering between two connections, so the call may have overtaken the decode. */
    @Test
    void anAnswerToACallThatOvertookADecodeDoesNotKeepItsStateFromBeingReleased() {
        Command.StartDecode decode = startWrittenDecode(Fleet.UNSAFE);
        long writtenAt = now;
        advanceAnsweringTo(now + ONE_WAY_MICROS - STEP);
        reportCallAnswered(decode.engine(), writtenAt);
        silentEngines.add(decode.engine());
        advanceAnsweringTo(PREFILLED + Fleet.RELEASE);
        assertTrue(
                releases() > 0, "the answer to another call counted as the delivery of the decode");
    }

    /**
     * The engine answers reachability checks on other connections, and the decode must not be
     * repeated at another engine.
     */
    @Test
    void aStateOfAnUnansweredDecodeIsReleasedWithinEveryLimitUntilTheDecodeHasEnded() {
        startWrittenDecode(Fleet.UNSAFE);
        advanceUntilTheDecodeIsCancelled();
        advanceAnsweringTo(now + Fleet.RELEASE);
        long pause = longestPauseMillis(PREFILLED, now);
        assertTrue(pause <= LIMIT_MILLIS, "no release sent for " + pause + " ms");
    }

    /**
     * The connection of the decode takes so long to be established that releases are sent
     * meanwhile.
     */
    private Command.StartDecode writeDecodeWhileReleasesAreInFlight() {
        client = router.requestArrived(now, Fleet.call(Fleet.UNSAFE, 10, BUDGET));
        Command.StartPrefill prefill = all(Command.StartPrefill.class).get(0);
        reportWritten(prefill);
        advanceTo(PREFILLED);
        router.prefillCompleted(now, prefill.attempt(), "", 0, ServerLoad.NONE);
        Command.StartDecode decode = all(Command.StartDecode.class).get(0);
        router.attemptConnecting(now, decode.attempt());
        while (releases() < RELEASES_IN_FLIGHT) {
            assertTrue(
                    now < PREFILLED + Fleet.RELEASE,
                    "only " + releases() + " releases sent within the limit");
            advanceTo(now + STEP);
        }
        router.attemptWritten(now, decode.attempt());
        return decode;
    }

    private void advanceUntilTheDecodeIsCancelled() {
        while (all(Command.CancelAttempt.class).isEmpty()) {
            assertTrue(now < 2 * BUDGET, "decode not cancelled by the client's deadline");
            advanceAnsweringTo(now + STEP);
        }
    }

    private void assertKeptAndReleasedAfterTheDecode() {
        advanceUntilTheDecodeIsCancelled();
        long endedAt = now;
        advanceAnsweringTo(endedAt + EXPIRY_MICROS);
        boolean released = wasReleasedBetween(endedAt, endedAt + Fleet.RELEASE);
        assertTrue(released, "no release within the limit after the end of the decode");
        assertEquals(
                List.of(),
                all(Command.ReportExpiredRelease.class),
                "releases expired although engines answer");
    }

    @Test
    void aHoldWhoseReleasesWereInFlightWhenItsDecodeWasWrittenDoesNotExpire() {
        writeDecodeWhileReleasesAreInFlight();
        assertKeptAndReleasedAfterTheDecode();
    }

    @Test
    void aHoldDoesNotExpireWhereOneOfItsReleasesIsLostAndTheOthersAreAnswered() {
        writeDecodeWhileReleasesAreInFlight();
        silentEngines.add(all(Command.ReleaseReservation.class).get(1).engine());
        assertKeptAndReleasedAfterTheDecode();
    }

    /**
     * A reachability check is answered in the meantime, so the decode counts as delivered until it
     * is cancelled.
     */
    @Test
    void aHoldDoesNotExpireWhenADecodeEndsThatWasWrittenWhileReleasesWereInFlight() {
        Command.StartDecode decode = writeDecodeWhileReleasesAreInFlight();
        silentEngines.add(all(Command.ReleaseReservation.class).get(1).engine());
        advanceAnsweringTo(now + 10 * STEP);
        reportCallAnswered(decode.engine(), now - STEP);
        assertKeptAndReleasedAfterTheDecode();
    }

    @Test
    void anAttemptWithoutTransportReportsDoesNotStopTheTimeLimitOfAState() {
        router.requestArrived(now, Fleet.call(Fleet.UNSAFE, 10, BUDGET));
        Command.StartAttempt prefill = reportWritten(all(Command.StartPrefill.class).get(0));
        advanceAnsweringTo(PREFILLED);
        router.prefillCompleted(now, prefill.attempt(), "", 0, ServerLoad.NONE);
        assertEquals(1, all(Command.StartDecode.class).size());
        advanceAnsweringTo(PREFILLED + Fleet.RELEASE);
        assertTrue(releases() > 0, "no release was sent");
    }
}
