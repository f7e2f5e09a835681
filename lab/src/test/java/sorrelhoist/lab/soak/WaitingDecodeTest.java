package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.Test;
import sorrelhoist.lab.soak.RequestTrace.StateTrace;
import sorrelhoist.lab.soak.WorkerEntry.Role;

/** A decode that waits at its worker keeps its state from being released, as the platform's do. */
class WaitingDecodeTest extends WorkerStandInTestSupport {
    private final StateTrace state = new StateTrace("r0", System.nanoTime());

    WaitingDecodeTest() {
        super(Role.WRITE);
        request.states.add(state);
    }

    private boolean isHeld() throws Exception {
        return harness.call(state::isHeld);
    }

    /** A call to another worker, which runs. */
    private void releaseElsewhere() throws Exception {
        WorkerStandIn other =
                new WorkerStandIn("w1", Role.WRITE, harness.eventLoop(), log, 2, BOUND_MILLIS);
        harness.run(() -> other.release(ID));
    }

    private static boolean endsWithoutAnswer(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    private Socket decodeAt(HangMode mode) throws Exception {
        harness.run(() -> worker.hang(mode));
        Socket socket = connect();
        write(socket, inference());
        return socket;
    }

    private void decodeIsGivenUpWhileItWaits() throws Exception {
        try (Socket socket = decodeAt(HangMode.STALLED)) {
            await(() -> request.attempts.size() == 1);
            releaseElsewhere();
            assertTrue(isHeld());
            assertNoAnswer(socket);
        }
        await(() -> request.attempts.get(0).endedAt != RequestTrace.NEVER);
    }

    @Test
    void aReleaseLetsGoOfNothingThatADecodeWaitsForAndOfEverythingAfterIt() throws Exception {
        decodeIsGivenUpWhileItWaits();
        releaseElsewhere();
        assertFalse(isHeld());
    }

    @Test
    void aWorkerThatCancelsNothingFetchesTheStateOfADecodeThatNobodyWaitsFor() throws Exception {
        harness.run(() -> worker.setCancelsQueuedAttempts(false));
        decodeIsGivenUpWhileItWaits();
        releaseElsewhere();
        assertTrue(isHeld());
        harness.run(worker::resume);
        await(() -> !state.isHeld());
    }

    @Test
    void aDecodeThatIsTakenByAStalledWorkerIsAnsweredOnceItGoesOn() throws Exception {
        try (Socket socket = decodeAt(HangMode.STALLED)) {
            await(() -> request.attempts.size() == 1);
            harness.run(worker::resume);
            assertEquals("200", status(socket));
            assertFalse(isHeld());
        }
    }

    @Test
    void aStoppedWorkerDoesNotNoticeThatNobodyWaitsForItsDecode() throws Exception {
        try (Socket socket = connect()) {
            // The decode is in its queue, and its process is stopped just then.
            write(socket, inference());
            await(() -> request.attempts.size() == 1);
            harness.run(() -> worker.hang(HangMode.STOPPED));
        }
        boolean stillHeld = isHeld();
        releaseElsewhere();
        assertEquals(stillHeld, isHeld(), "it waits in the queue, or was fetched before");
        harness.run(worker::resume);
        await(() -> !request.attempts.get(0).isWaitingForState());
    }

    @Test
    void aStalledWorkerAnswersNoReleaseAndReleasesNothingUntilItGoesOn() throws Exception {
        try (Socket socket = provenConnection()) {
            StateTrace later = new StateTrace("r0", System.nanoTime());
            harness.run(() -> request.states.add(later));
            harness.run(() -> worker.hang(HangMode.STALLED));
            write(socket, delete());
            assertNoAnswer(socket);
            assertTrue(harness.call(later::isHeld));
            harness.run(worker::resume);
            assertEquals("204", status(socket));
            assertFalse(harness.call(later::isHeld));
        }
    }

    @Test
    void aDecodeWhoseStateIsGoneIsRejected() throws Exception {
        releaseElsewhere();
        try (Socket socket = connect()) {
            write(socket, inference());
            assertEquals("410", status(socket));
            assertFalse(harness.call(() -> request.attempts.get(0).isWaitingForState()));
        }
    }

    @Test
    void aReleaseWhoseAnswerIsLostHasHadItsEffect() throws Exception {
        harness.run(() -> worker.setMisbehaviour(Misbehaviour.RESET_AFTER_REQUEST, 1));
        try (Socket socket = connect()) {
            write(socket, delete());
            await(() -> !state.isHeld());
            assertTrue(endsWithoutAnswer(socket));
        }
    }

    @Test
    void aStateThatItsDecodeCannotReachIsSaidToBeGoneAndIsHeld() throws Exception {
        harness.run(() -> worker.setMisbehaviour(Misbehaviour.STATE_UNREACHABLE, 1));
        try (Socket socket = connect()) {
            write(socket, inference());
            assertEquals("410", status(socket));
        }
        assertTrue(isHeld());
        assertFalse(harness.call(() -> request.attempts.get(0).isWaitingForState()));
    }

    @Test
    void aDecodeThatEndsInAnErrorLeavesItsStateAndMayHaveRun() throws Exception {
        harness.run(() -> worker.setMisbehaviour(Misbehaviour.ERROR, 1));
        try (Socket socket = connect()) {
            write(socket, inference());
            assertEquals("500", status(socket));
        }
        assertTrue(isHeld());
        assertTrue(harness.call(() -> request.attempts.get(0).mayHaveRun()));
        releaseElsewhere();
        assertFalse(isHeld());
    }

    /** The request's time is one second. */
    @Test
    void aDecodeWhoseTimeWasOverInTheQueueLeavesItsState() throws Exception {
        try (Socket socket = decodeAt(HangMode.STALLED)) {
            await(() -> request.attempts.size() == 1);
            long over = harness.call(() -> request.attempts.get(0).arrivedAt) + 1_000_000_000;
            await(() -> System.nanoTime() > over);
            harness.run(worker::resume);
            await(() -> !request.attempts.get(0).isWaitingForState());
            assertTrue(isHeld());
            assertTrue(harness.call(() -> request.attempts.get(0).rejected));
            releaseElsewhere();
            assertFalse(isHeld());
            assertTrue(socket.isConnected());
        }
    }
}
