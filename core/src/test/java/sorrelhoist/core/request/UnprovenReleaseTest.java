package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * A release does not drop a state that an attempt is waiting for, but is answered nevertheless. Its
 * answer therefore proves nothing if an attempt may have been using the state when the release
 * arrived, and the release has to be repeated.
 */
class UnprovenReleaseTest extends PlatformAttemptTestSupport {
    /** Advances time to {@code time}, with engines answering releases within one step. */
    private void advanceAnsweringTo(long time) {
        while (now < time) {
            advanceTo(now + STEP);
            answerReleases();
        }
    }

    private int releases() {
        return all(Command.ReleaseReservation.class).size();
    }

    /**
     * A decode whose delivery is not confirmed must not delay the release beyond the time limit,
     * but its engine may have received it.
     */
    @Test
    void aReleaseAnsweredDuringADecodeIsRepeatedOnceTheDecodeHasEnded() {
        Command.StartDecode decode = startWrittenDecode(Fleet.UNSAFE);
        advanceTo(PREFILLED + Fleet.RELEASE);
        assertTrue(
                releases() > 0,
                "no release within the limit, although the decode may not have arrived");
        answerReleases();
        int releasesDuringDecode = releases();
        while (all(Command.CancelAttempt.class).isEmpty()) {
            assertTrue(now < BUDGET, "decode not cancelled by the client's deadline");
            releasesDuringDecode = releases();
            advanceTo(now + STEP);
        }
        assertEquals(decode.attempt(), all(Command.CancelAttempt.class).get(0).attempt());
        advanceTo(now + Fleet.RELEASE);
        assertTrue(
                releases() > releasesDuringDecode,
                "no release was sent after the end of the decode");
    }

    /** There is no ordering between a release and the close of another connection. */
    @Test
    void aReleaseThatMayOvertakeTheCloseOfADecodeIsRepeatedWithinTheLimit() {
        Command.StartDecode decode = startWrittenDecode(Fleet.SAFE);
        advanceTo(PREFILLED + Fleet.RELEASE / 10);
        reportCallAnswered(decode.engine(), now);
        router.clientDisconnected(now, client);
        assertEquals(1, all(Command.CancelAttempt.class).size());
        assertEquals(1, releases());
        answerReleases();
        advanceTo(now + Fleet.RELEASE);
        assertTrue(
                releases() > 1,
                "only one release was sent, which may have arrived before the close");
    }

    /** The decode may be waiting for the state in the queue of an engine that is stopped. */
    @Test
    void aStateThatADecodeWaitsForAtAStoppedEngineIsReleasedOnceThatEngineResponds() {
        Command.StartDecode decode = startWrittenDecode(Fleet.SAFE);
        advanceTo(PREFILLED + Fleet.RELEASE / 10);
        reportCallAnswered(decode.engine(), now);
        router.clientDisconnected(now, client);
        answerReleases();
        assertEquals(
                1,
                router.metrics().releasableReservations(),
                "shutdown would not wait for the next release");
        advanceAnsweringTo(now + Fleet.RELEASE);
        assertEquals(
                0,
                router.metrics().releasableReservations(),
                "shutdown would wait for a stopped engine");
        for (int limits = 0; limits < 20; limits++) {
            int before = releases();
            advanceAnsweringTo(now + Fleet.RELEASE);
            assertTrue(releases() > before, "no release was sent in period " + limits);
        }
        assertEquals(1, router.metrics().reservationCount());
        int before = releases();
        reportCallAnswered(decode.engine(), now);
        advanceAnsweringTo(now + Fleet.RELEASE);
        assertTrue(releases() > before);
        advanceAnsweringTo(now + 5 * Fleet.RELEASE);
        assertEquals(0, router.metrics().reservationCount());
    }

    /** The engine may be stopped and may not have noticed that the connection is broken. */
    @Test
    void aStateOfAPrefillWhoseConnectionBrokeIsReleasedOnceItsEngineResponds() {
        client = router.requestArrived(now, Fleet.call(Fleet.SAFE, 10, BUDGET));
        Command.StartAttempt prefill = reportWritten(all(Command.StartPrefill.class).get(0));
        advanceTo(PREFILLED);
        router.attemptFailed(now, prefill.attempt(), Outcome.RESET, 0, ServerLoad.NONE);
        router.clientDisconnected(now, client);
        advanceAnsweringTo(now + 3 * Fleet.RELEASE);
        int before = releases();
        reportCallAnswered(prefill.engine(), now);
        advanceAnsweringTo(now + Fleet.RELEASE);
        assertTrue(releases() > before);
        advanceAnsweringTo(now + 5 * Fleet.RELEASE);
        assertEquals(0, router.metrics().reservationCount());
    }

    @Test
    void aStateOfAnAnsweredDecodeIsReleasedOnce() {
        Command.StartDecode decode = startWrittenDecode(Fleet.UNSAFE);
        router.attemptFailed(now, decode.attempt(), Outcome.ERROR, 0, ServerLoad.NONE);
        advanceAnsweringTo(now + Fleet.RELEASE);
        assertEquals(1, releases());
        assertEquals(0, router.metrics().reservationCount());
    }

    /** An abandoned release may arrive late and drop a state that was produced in the meantime. */
    @Test
    void aPromptWhoseStateALateReleaseDroppedIsPrefilledAgain() {
        Command.StartDecode decode = startWrittenDecode(Fleet.UNSAFE);
        router.attemptFailed(now, decode.attempt(), Outcome.FULL, 1, ServerLoad.NONE);
        assertEquals(2, all(Command.StartPrefill.class).size());
        assertEquals(0, all(Command.FinishRequest.class).size());
    }

    /**
     * Other connections of the engine pass data, but the decode's own connection stopped passing
     * data when the decode was written.
     */
    @Test
    void aStateIsReleasedOnceWithinEachLimitThoughItsEngineAnswersOnOtherConnections() {
        Command.StartDecode decode = startWrittenDecode(Fleet.SAFE);
        advanceTo(PREFILLED + Fleet.RELEASE / 20);
        reportCallAnswered(decode.engine(), now);
        advanceAnsweringTo(PREFILLED + Fleet.RELEASE);
        assertEquals(1, releases());
        assertEquals(
                1,
                all(Command.StartDecode.class).size(),
                "a decode that may have been delivered was sent again");
        advanceAnsweringTo(PREFILLED + 2 * Fleet.RELEASE);
        assertEquals(
                2,
                releases(),
                "no second release, although the engine may have failed together with the decode");
    }

    /**
     * The next decode engine would have to prefill the prompt, and decode engines are slow at
     * prefill.
     */
    @Test
    void aDecodeWhoseStateWasReleasedIsNotSentToAnotherDecodeEngineBeforeTheNextPrefill() {
        Command.StartDecode decode = startWrittenDecode(Fleet.SAFE);
        advanceTo(PREFILLED + Fleet.RELEASE / 20);
        reportCallAnswered(decode.engine(), now);
        advanceAnsweringTo(PREFILLED + Fleet.RELEASE);
        assertEquals(1, releases());
        router.attemptFailed(now, decode.attempt(), Outcome.FULL, 0, ServerLoad.NONE);
        assertEquals(2, all(Command.StartPrefill.class).size());
        assertEquals(1, all(Command.StartDecode.class).size());
    }
}
