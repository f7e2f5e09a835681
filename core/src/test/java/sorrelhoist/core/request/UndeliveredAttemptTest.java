package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * Tests attempts whose last byte was written but for which there is no evidence that the engine
 * received them.
 */
class UndeliveredAttemptTest extends PlatformAttemptTestSupport {
    @Test
    void aStateIsReleasedInTimeIfTheDeliveryOfItsDecodeIsUnconfirmed() {
        startWrittenDecode(Fleet.UNSAFE);
        advanceTo(PREFILLED + Fleet.RELEASE - STEP);
        assertTrue(all(Command.ReleaseReservation.class).size() > 0, "no release was sent");
        assertEquals(
                1,
                all(Command.StartDecode.class).size(),
                "an unsafe decode that may have run was sent again");
    }

    @Test
    void anUnconfirmedDecodeIsSentToAnotherEngineWithinTheTimeLimitOfItsState() {
        Command.StartDecode first = startWrittenDecode(Fleet.SAFE);
        advanceTo(PREFILLED + Fleet.RELEASE / 2);
        List<Command.StartDecode> decodes = all(Command.StartDecode.class);
        assertEquals(2, decodes.size());
        assertNotEquals(first.engine(), decodes.get(1).engine());
        assertEquals(
                List.of(first.attempt()),
                all(Command.CancelAttempt.class).stream()
                        .map(Command.CancelAttempt::attempt)
                        .toList());
    }

    @Test
    void anUnconfirmedPrefillIsSentToAnotherEngine() {
        router.requestArrived(now, Fleet.call(Fleet.UNSAFE, 10, BUDGET));
        Command.StartAttempt first = reportWritten(all(Command.StartPrefill.class).get(0));
        advanceTo(Fleet.RELEASE);
        List<Command.StartPrefill> prefills = all(Command.StartPrefill.class);
        assertEquals(2, prefills.size());
        assertNotEquals(first.engine(), prefills.get(1).engine());
    }

    @Test
    void aSecondUnconfirmedDecodeDoesNotRestartTheTimeLimitOfItsState() {
        startWrittenDecode(Fleet.SAFE);
        advanceTo(PREFILLED + Fleet.RELEASE / 2 - STEP);
        reportWritten(all(Command.StartDecode.class).get(1));
        advanceTo(PREFILLED + Fleet.RELEASE / 2);
        assertEquals(List.of(), all(Command.ReleaseReservation.class));
        advanceTo(PREFILLED + 7 * Fleet.RELEASE / 10);
        assertTrue(all(Command.ReleaseReservation.class).size() > 0, "no release was sent");
    }

    @Test
    void aDecodeOfAnEngineThatAnswersOtherCallsKeepsRunningAndItsStateIsReleasedInTime() {
        Command.StartDecode decode = startWrittenDecode(Fleet.SAFE);
        advanceTo(PREFILLED + Fleet.RELEASE / 10);
        reportCallAnswered(decode.engine(), now);
        advanceTo(PREFILLED + 3 * Fleet.RELEASE / 4);
        assertEquals(List.of(), all(Command.ReleaseReservation.class));
        advanceTo(PREFILLED + Fleet.RELEASE - STEP);
        assertTrue(all(Command.ReleaseReservation.class).size() > 0, "no release was sent");
        advanceTo(PREFILLED + 2 * Fleet.RELEASE);
        assertEquals(1, all(Command.StartDecode.class).size());
    }

    /**
     * The engine runs the prefill late, once it is reachable again; the state that it may then hold
     * has to be released.
     */
    @Test
    void aPrefillThatArrivesAfterItsCancellationIsReleasedOnceItsEngineIsReachable() {
        router.requestArrived(now, Fleet.call(Fleet.SAFE, 10, BUDGET));
        Command.StartAttempt first = reportWritten(all(Command.StartPrefill.class).get(0));
        advanceTo(Fleet.RELEASE / 2);
        Command.StartPrefill second = all(Command.StartPrefill.class).get(1);
        reportWritten(second);
        router.prefillCompleted(now, second.attempt(), "", 0, ServerLoad.NONE);
        Command.StartDecode decode = all(Command.StartDecode.class).get(0);
        reportWritten(decode);
        router.opaqueEventReceived(now, decode.attempt(), new Object());
        router.opaqueStreamCompleted(now, decode.attempt(), 0, ServerLoad.NONE);
        advanceTo(2 * Fleet.SECOND);
        answerReleases();
        int before = all(Command.ReleaseReservation.class).size();
        reportCallAnswered(first.engine(), now);
        advanceTo(now + Fleet.RELEASE);
        assertTrue(
                all(Command.ReleaseReservation.class).size() > before,
                "no release was sent after the engine was reachable again");
        for (int i = 0; i < 5; i++) {
            answerReleases();
            advanceTo(now + Fleet.RELEASE);
        }
        assertEquals(0, router.metrics().reservationCount());
    }
}
