package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.request.FaultyNetwork.Connection;
import sorrelhoist.core.request.RequestTruth.SentAttempt;
import sorrelhoist.core.request.RequestTruth.WorkerEnd;

/**
 * Tests the components of the faulty network simulation: the model must not be more lenient than
 * the rules that it represents.
 */
class FaultyNetworkModelTest {
    private static final long MILLI = 1000;
    private static final long LONGEST_WAY = 10 * MILLI;
    private static final long SILENCE = 500 * MILLI;

    private final FaultyNetwork network = new FaultyNetwork(new Random(1));
    private final Connection connection = network.open("w0");
    private final List<String> arrived = new ArrayList<>();
    private final RequestTruth request = new RequestTruth("a");

    private SentAttempt arrived(int number, boolean prefill) {
        SentAttempt attempt = request.sent(number, "w0", prefill, Fleet.SECOND, 0);
        attempt.written(0, connection);
        attempt.arrived(0);
        return attempt;
    }

    private void leaveState() {
        SentAttempt prefill = arrived(0, true);
        request.held(prefill, 0);
        prefill.overAtWorker(WorkerEnd.ANSWERED, 0);
        prefill.overAtRouter("prefilled", 0);
    }

    private void passTo(long time) {
        while (network.nextEventAt() <= time) {
            network.advanceTo(network.nextEventAt());
        }
        network.advanceTo(time);
    }

    @Test
    void whatIsSentOnAConnectionArrivesInItsOrderAfterItsDelay() {
        connection.sendToWorker(() -> arrived.add("first"));
        connection.sendToWorker(() -> arrived.add("second"));
        passTo(0);
        assertEquals(List.of(), arrived);
        passTo(LONGEST_WAY);
        assertEquals(List.of("first", "second"), arrived);
    }

    @Test
    void whatWasOnItsWayIntoASilenceArrivesAfterIt() {
        connection.sendToWorker(() -> arrived.add("first"));
        connection.silence(SILENCE, false);
        passTo(SILENCE - 1);
        assertEquals(List.of(), arrived);
        passTo(SILENCE + LONGEST_WAY);
        assertEquals(List.of("first"), arrived);
    }

    @Test
    void whatWasOnItsWayIntoASilenceThatEndsInAResetNeverArrives() {
        connection.carry(() -> arrived.add("reset"), () -> {});
        connection.sendToWorker(() -> arrived.add("first"));
        connection.silence(SILENCE, true);
        passTo(2 * SILENCE);
        assertEquals(List.of("reset"), arrived);
    }

    @Test
    void theSilenceOfALinkHoldsItsConnectionsAndNoOthers() {
        Connection other = network.open("w1");
        network.silenceLink("w0", SILENCE, false);
        connection.sendToWorker(() -> arrived.add("silent"));
        other.sendToWorker(() -> arrived.add("other"));
        passTo(LONGEST_WAY);
        assertEquals(List.of("other"), arrived);
    }

    @Test
    void whatARouterWroteBeforeItClosedArrivesBeforeTheClose() {
        connection.carry(() -> {}, () -> arrived.add("close"));
        connection.sendToWorker(() -> arrived.add("request"));
        connection.close();
        passTo(LONGEST_WAY);
        assertEquals(List.of("request", "close"), arrived);
    }

    @Test
    void aWorkerThatHangsTakesWhatHasComeWhenItGoesOn() {
        FaultyWorker worker = new FaultyWorker("w0", network, new Random(1), false);
        worker.hang(SILENCE);
        worker.whenItRuns(() -> arrived.add("taken"));
        passTo(SILENCE - 1);
        assertEquals(List.of(), arrived);
        passTo(SILENCE);
        assertEquals(List.of("taken"), arrived);
    }

    @Test
    void aStateThatNobodyWaitsForIsHeldForNobody() {
        leaveState();
        assertEquals(SILENCE, request.heldForNobodyMicros(SILENCE));
        request.releaseArrives("w1", SILENCE);
        assertEquals(0, request.heldForNobodyMicros(2 * SILENCE));
    }

    @Test
    void aDecodeThatHasNotArrivedStopsNoClock() {
        leaveState();
        request.sent(1, "w0", false, Fleet.SECOND, 0).written(0, connection);
        assertEquals(SILENCE, request.heldForNobodyMicros(SILENCE));
    }

    /** A queued decode keeps the state held, even after the router has cancelled the decode. */
    @Test
    void aReleaseLetsGoOfNothingThatADecodeWaitsForAndTheClockBeginsAfterIt() {
        leaveState();
        SentAttempt decode = arrived(1, false);
        decode.overAtRouter("cancelled", MILLI);
        request.releaseArrives("w1", 2 * MILLI);
        assertTrue(request.isHeld());
        assertEquals(0, request.heldForNobodyMicros(SILENCE));
        decode.overAtWorker(WorkerEnd.UNWANTED, SILENCE);
        assertEquals(MILLI, request.heldForNobodyMicros(SILENCE + MILLI));
    }

    @Test
    void anAttemptThatItsWorkerDroppedWithoutAWordStopsNoClock() {
        leaveState();
        arrived(1, false).overAtWorker(WorkerEnd.DROPPED, MILLI);
        assertEquals(SILENCE, request.heldForNobodyMicros(SILENCE + MILLI));
    }

    @Test
    void aStateThatAPrefillLeavesAfterItWasGivenUpCountsFromThen() {
        SentAttempt prefill = arrived(0, true);
        prefill.overAtRouter("cancelled", MILLI);
        request.held(prefill, SILENCE);
        prefill.overAtWorker(WorkerEnd.ANSWERED, SILENCE);
        assertTrue(prefill.endedTooLate);
        assertEquals(MILLI, request.heldForNobodyMicros(SILENCE + MILLI));
    }

    @Test
    void aPrefillWhoseAnswerDoesNotComeIsOutUntilTheRouterStopsWaiting() {
        SentAttempt prefill = arrived(0, true);
        request.held(prefill, 0);
        prefill.overAtWorker(WorkerEnd.ANSWERED, 0);
        assertEquals(0, request.heldForNobodyMicros(SILENCE));
        prefill.overAtRouter("cancelled", SILENCE);
        assertEquals(MILLI, request.heldForNobodyMicros(SILENCE + MILLI));
    }
}
