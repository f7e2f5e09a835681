package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.request.ActualRequestState.SentAttempt;
import sorrelhoist.core.request.ActualRequestState.WorkerEnd;
import sorrelhoist.core.request.FaultyNetwork.Connection;

/**
 * Tests the components of the faulty network simulation: the model must not be more lenient than
 * the rules that it represents.
 */
class FaultyNetworkModelTest {
    private static final long MILLI = 1000;
    private static final long MAX_TRANSIT = 10 * MILLI;
    private static final long SILENCE = 500 * MILLI;

    private final FaultyNetwork network = new FaultyNetwork(new Random(1));
    private final Connection connection = network.open("w0");
    private final List<String> arrived = new ArrayList<>();
    private final ActualRequestState request = new ActualRequestState("a");

    private SentAttempt arrived(int number, boolean prefill) {
        SentAttempt attempt = request.sent(number, "w0", prefill, Fleet.SECOND, 0);
        attempt.written(0, connection);
        attempt.arrived(0);
        return attempt;
    }

    private void produceState() {
        SentAttempt prefill = arrived(0, true);
        request.held(prefill, 0);
        prefill.endedAtWorker(WorkerEnd.ANSWERED, 0);
        prefill.endedAtRouter("prefilled", 0);
    }

    private void advanceTo(long time) {
        while (network.nextEventAt() <= time) {
            network.advanceTo(network.nextEventAt());
        }
        network.advanceTo(time);
    }

    @Test
    void messagesArriveInOrderAfterTheDelayOfTheConnection() {
        connection.sendToWorker(() -> arrived.add("first"));
        connection.sendToWorker(() -> arrived.add("second"));
        advanceTo(0);
        assertEquals(List.of(), arrived);
        advanceTo(MAX_TRANSIT);
        assertEquals(List.of("first", "second"), arrived);
    }

    @Test
    void messagesInTransitDuringASilenceArriveAfterIt() {
        connection.sendToWorker(() -> arrived.add("first"));
        connection.silence(SILENCE, false);
        advanceTo(SILENCE - 1);
        assertEquals(List.of(), arrived);
        advanceTo(SILENCE + MAX_TRANSIT);
        assertEquals(List.of("first"), arrived);
    }

    @Test
    void messagesInTransitDuringASilenceThatEndsInAResetAreLost() {
        connection.assignCall(() -> arrived.add("reset"), () -> {});
        connection.sendToWorker(() -> arrived.add("first"));
        connection.silence(SILENCE, true);
        advanceTo(2 * SILENCE);
        assertEquals(List.of("reset"), arrived);
    }

    @Test
    void aSilentLinkBlocksOnlyItsOwnConnections() {
        Connection other = network.open("w1");
        network.silenceLink("w0", SILENCE, false);
        connection.sendToWorker(() -> arrived.add("silent"));
        other.sendToWorker(() -> arrived.add("other"));
        advanceTo(MAX_TRANSIT);
        assertEquals(List.of("other"), arrived);
    }

    @Test
    void bytesWrittenBeforeACloseArriveBeforeTheClose() {
        connection.assignCall(() -> {}, () -> arrived.add("close"));
        connection.sendToWorker(() -> arrived.add("request"));
        connection.close();
        advanceTo(MAX_TRANSIT);
        assertEquals(List.of("request", "close"), arrived);
    }

    @Test
    void aHangingWorkerProcessesReceivedMessagesWhenItContinues() {
        FaultyWorker worker = new FaultyWorker("w0", network, new Random(1), false);
        worker.hang(SILENCE);
        worker.runWhenNotHung(() -> arrived.add("taken"));
        advanceTo(SILENCE - 1);
        assertEquals(List.of(), arrived);
        advanceTo(SILENCE);
        assertEquals(List.of("taken"), arrived);
    }

    @Test
    void aStateThatNoAttemptWaitsForCountsAsUnused() {
        produceState();
        assertEquals(SILENCE, request.unusedMicros(SILENCE));
        request.releaseArrived("w1", SILENCE);
        assertEquals(0, request.unusedMicros(2 * SILENCE));
    }

    @Test
    void aDecodeThatHasNotArrivedDoesNotStopTheTimeLimit() {
        produceState();
        request.sent(1, "w0", false, Fleet.SECOND, 0).written(0, connection);
        assertEquals(SILENCE, request.unusedMicros(SILENCE));
    }

    /** A queued decode keeps the state held, even after the router has cancelled the decode. */
    @Test
    void aReleaseKeepsAStateThatADecodeWaitsForAndTheTimeLimitStartsAfterTheDecode() {
        produceState();
        SentAttempt decode = arrived(1, false);
        decode.endedAtRouter("cancelled", MILLI);
        request.releaseArrived("w1", 2 * MILLI);
        assertTrue(request.isHeld());
        assertEquals(0, request.unusedMicros(SILENCE));
        decode.endedAtWorker(WorkerEnd.UNWANTED, SILENCE);
        assertEquals(MILLI, request.unusedMicros(SILENCE + MILLI));
    }

    @Test
    void anAttemptThatItsWorkerDroppedSilentlyDoesNotStopTheTimeLimit() {
        produceState();
        arrived(1, false).endedAtWorker(WorkerEnd.DROPPED, MILLI);
        assertEquals(SILENCE, request.unusedMicros(SILENCE + MILLI));
    }

    @Test
    void aStateProducedAfterItsPrefillWasCancelledCountsFromItsProduction() {
        SentAttempt prefill = arrived(0, true);
        prefill.endedAtRouter("cancelled", MILLI);
        request.held(prefill, SILENCE);
        prefill.endedAtWorker(WorkerEnd.ANSWERED, SILENCE);
        assertTrue(prefill.endedTooLate);
        assertEquals(MILLI, request.unusedMicros(SILENCE + MILLI));
    }

    @Test
    void aPrefillWhoseAnswerIsNotReceivedIsRunningUntilTheRouterStopsWaiting() {
        SentAttempt prefill = arrived(0, true);
        request.held(prefill, 0);
        prefill.endedAtWorker(WorkerEnd.ANSWERED, 0);
        assertEquals(0, request.unusedMicros(SILENCE));
        prefill.endedAtRouter("cancelled", SILENCE);
        assertEquals(MILLI, request.unusedMicros(SILENCE + MILLI));
    }
}
