package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/** Tests that the reservations of a request are released, regardless of how the request ends. */
class RouterReservationTest extends RouterTestSupport {
    @Test
    void aClientThatLeavesBetweenPrefillAndDecodeLeavesNothingReserved() {
        long client = router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        Command.StartDecode w = decodeAfterPrefill(client);
        router.clientDisconnected(20_000, client);
        assertEquals(w.attempt(), last(Command.CancelAttempt.class).attempt());
        assertEquals("s1", last(Command.ReleaseReservation.class).prefillState());
        assertEquals(0, all(Command.FinishRequest.class).size());
        assertNothingLeft();
    }

    @Test
    void aCancelledPrefillIsReleasedAtItsEngine() {
        long client = router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        Command.StartPrefill r = last(Command.StartPrefill.class);
        router.clientDisconnected(5_000, client);
        Command.ReleaseReservation release = last(Command.ReleaseReservation.class);
        assertEquals(r.engine(), release.engine());
        assertEquals("", release.prefillState());
        assertEquals(r.attempt().number(), release.upToAttempt());
        assertNothingLeft();
    }

    /**
     * There is no ordering between a cancellation and a release that are sent on two connections.
     */
    @Test
    void aCancelledPrefillIsReleasedAgainAsItsCancellationMayComeAfterTheRelease() {
        long client = router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        router.clientDisconnected(5_000, client);
        Command.ReleaseReservation first = last(Command.ReleaseReservation.class);
        router.releaseCompleted(6_000, first.releaseId(), true);
        router.advance(5_000 + Fleet.RELEASE);
        Command.ReleaseReservation second = last(Command.ReleaseReservation.class);
        assertEquals(2, all(Command.ReleaseReservation.class).size());
        assertEquals(first.engine(), second.engine());
        router.releaseCompleted(5_000 + Fleet.RELEASE, second.releaseId(), true);
        assertEquals(0, router.metrics().reservationCount());
    }

    /**
     * After the error of a decode engine, the policy starts another prefill while the first state
     * is still held at its prefill engine.
     */
    @Test
    void aPrefillStateIsReleasedWhenThePromptIsReadAgain() {
        Command.StartDecode w = startedDecode(0, Fleet.SAFE, 10, 0);
        router.attemptFailed(20_000, w.attempt(), Outcome.ERROR, 0, ServerLoad.NONE);
        assertEquals("s1", last(Command.ReleaseReservation.class).prefillState());
        assertEquals(2, all(Command.StartPrefill.class).size());
        router.prefillCompleted(
                30_000, last(Command.StartPrefill.class).attempt(), "s2", 100, ServerLoad.NONE);
        assertEquals("s2", last(Command.StartDecode.class).prefillState().stateId());
    }

    @Test
    void aDecodeSlotThatComesTooLateIsReleased() {
        router.decodeSlotAnswered(5, 99, "w1", true, "p1");
        assertEquals("p1", last(Command.ReleaseReservation.class).decodeSlot());
    }

    @Test
    void aReleaseIsRetriedUntilItsHolderAnswers() {
        long client = router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        decodeAfterPrefill(client);
        router.clientDisconnected(20_000, client);
        assertEquals(1, all(Command.ReleaseReservation.class).size());
        router.advance(20_000 + Fleet.RELEASE / 4);
        Command.ReleaseReservation again = last(Command.ReleaseReservation.class);
        assertEquals(2, all(Command.ReleaseReservation.class).size());
        assertEquals("s1", again.prefillState());
        assertEquals(all(Command.ReleaseReservation.class).get(0).engine(), again.engine());
        router.releaseCompleted(20_000 + Fleet.RELEASE / 4, again.releaseId(), true);
        assertEquals(0, router.metrics().reservationCount());
        router.advance(10 * Fleet.RELEASE);
        assertEquals(2, all(Command.ReleaseReservation.class).size());
        assertEquals(0, router.metrics().expiredReleases());
    }

    @Test
    void aReleaseThatItsHolderNeverAnswersIsReportedAndForgotten() {
        long client = router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        decodeAfterPrefill(client);
        router.clientDisconnected(20_000, client);
        for (long now = 20_000; now < 10 * Fleet.RELEASE; now += 10_000) {
            router.advance(now);
        }
        assertEquals(1, all(Command.ReportExpiredRelease.class).size());
        assertEquals(1, router.metrics().expiredReleases());
        assertEquals(0, router.metrics().reservationCount());
    }

    /**
     * The prefill engine may be unreachable only for the decode engine and still hold the state.
     */
    @Test
    void aPrefillStateThatCouldNotBeFetchedIsReleasedAtItsEngine() {
        Command.StartDecode w = startedDecode(0, Fleet.SAFE, 10, 0);
        router.attemptFailed(20_000, w.attempt(), Outcome.FULL, 1, ServerLoad.NONE);
        assertEquals("s1", last(Command.ReleaseReservation.class).prefillState());
        assertEquals(w.prefillState().engine(), last(Command.ReleaseReservation.class).engine());
    }

    @Test
    void aDecodeSlotThatMayBeReservedIsReleasedWhereItsRequestIsOver() {
        router.decodeSlotUnknown(5, 99, "w1", "p1");
        assertEquals("p1", last(Command.ReleaseReservation.class).decodeSlot());
        assertEquals("w1", last(Command.ReleaseReservation.class).engine());
    }
}
