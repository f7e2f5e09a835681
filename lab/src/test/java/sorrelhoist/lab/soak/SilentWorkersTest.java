package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.Test;
import sorrelhoist.lab.soak.FaultProxy.AfterSilence;
import sorrelhoist.lab.soak.WorkerEntry.Role;

/** Workers that hang and links that fall silent behave as stopped processes and lost paths do. */
class SilentWorkersTest extends WorkerStandInTestSupport {
    SilentWorkersTest() {
        super(Role.READ);
    }

    @Test
    void aHungWorkerTakesNothingUntilItRunsAgain() throws Exception {
        try (Socket socket = provenConnection()) {
            harness.run(() -> worker.hang(HangMode.STOPPED));
            write(socket, inference());
            assertNoAnswer(socket);
            assertEquals(0, attempts());
            harness.run(worker::resume);
            assertEquals("202", status(socket));
            long arrivedAt = harness.call(() -> request.attempts.get(0).arrivedAt);
            long firstByteAt = harness.call(() -> request.attempts.get(0).firstByteAt);
            assertTrue(arrivedAt - firstByteAt > QUIET_MILLIS * 500_000L);
        }
    }

    @Test
    void aHungWorkerReleasesNothing() throws Exception {
        try (Socket socket = provenConnection()) {
            harness.run(() -> worker.hang(HangMode.STOPPED));
            write(socket, delete());
            assertNoAnswer(socket);
        }
    }

    @Test
    void whatAHungWorkerFindsOnAClosedConnectionLeavesItsState() throws Exception {
        try (Socket socket = provenConnection()) {
            harness.run(() -> worker.hang(HangMode.STOPPED));
            write(socket, inference());
        }
        assertEquals(0, attempts());
        harness.run(worker::resume);
        await(() -> request.states.size() == 1);
    }

    @Test
    void whatWasWrittenIntoASilenceArrivesAfterIt() throws Exception {
        try (Socket socket = provenConnection()) {
            harness.run(link::silence);
            write(socket, inference());
            assertNoAnswer(socket);
            assertEquals(0, attempts());
            harness.run(() -> link.endSilence(AfterSilence.DELIVER));
            assertEquals("202", status(socket));
        }
    }

    @Test
    void whatWasWrittenBeforeAnOrderlyCloseArrivesToo() throws Exception {
        try (Socket socket = provenConnection()) {
            harness.run(link::silence);
            write(socket, inference());
        }
        harness.run(() -> link.endSilence(AfterSilence.DELIVER));
        await(() -> request.attempts.size() == 1);
    }

    @Test
    void whatWasWrittenBeforeAResetNeverArrives() throws Exception {
        try (Socket socket = provenConnection()) {
            harness.run(link::silence);
            write(socket, inference());
            socket.setSoLinger(true, 0);
        }
        harness.run(() -> link.endSilence(AfterSilence.DELIVER));
        provenConnection().close();
        assertEquals(0, attempts());
    }

    @Test
    void aSilenceThatOverlapsAnotherEndsWithTheLast() throws Exception {
        try (Socket socket = provenConnection()) {
            harness.run(link::silence);
            harness.run(link::silence);
            write(socket, inference());
            harness.run(() -> link.endSilence(AfterSilence.DELIVER));
            assertNoAnswer(socket);
            harness.run(() -> link.endSilence(AfterSilence.DELIVER));
            assertEquals("202", status(socket));
        }
    }
}
