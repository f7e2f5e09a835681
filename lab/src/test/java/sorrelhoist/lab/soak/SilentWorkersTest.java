package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import sorrelhoist.lab.soak.FaultProxy.AfterSilence;
import sorrelhoist.lab.soak.RequestTrace.AttemptTrace;
import sorrelhoist.lab.soak.WorkerEntry.Role;

/** Workers that hang and links that fall silent behave as stopped processes and lost paths do. */
class SilentWorkersTest extends WorkerStandInTestSupport {
    private static final long SHORTEST_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long LONGEST_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

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

    @Test
    void bytesAreDelayedOnTheirWayToTheWorker() throws Exception {
        try (Socket socket = provenConnection()) {
            long writtenAt = System.nanoTime();
            write(socket, inference());
            assertEquals("202", status(socket));
            AttemptTrace attempt = harness.call(() -> request.attempts.get(0));
            assertTrue(attempt.linkDelay >= SHORTEST_DELAY_NANOS);
            assertTrue(attempt.linkDelay <= LONGEST_DELAY_NANOS);
            assertTrue(attempt.firstByteSentAt() >= writtenAt, "the link's delay is the true one");
        }
    }

    @Test
    void bytesAreDelayedOnTheirWayBack() throws Exception {
        try (Socket socket = provenConnection()) {
            write(socket, inference());
            assertEquals("202", status(socket));
            long readAt = System.nanoTime();
            long answeredAt = harness.call(() -> request.attempts.get(0).endedAt);
            assertTrue(readAt - answeredAt >= SHORTEST_DELAY_NANOS);
        }
    }

    @Test
    void bytesThatAreDelayedStayInOrder() throws Exception {
        harness.run(() -> worker.setMisbehaviour(Misbehaviour.BYTE_BY_BYTE, 1));
        try (Socket socket = provenConnection()) {
            socket.setTcpNoDelay(true);
            for (char letter : inference().toCharArray()) {
                write(socket, Character.toString(letter));
            }
            assertEquals("202", status(socket));
            String rest = " Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":7}";
            byte[] read = socket.getInputStream().readNBytes(rest.length());
            assertEquals(rest, new String(read, StandardCharsets.ISO_8859_1));
        }
    }

    @Test
    void aCloseArrivesAfterTheBytesBeforeIt() throws Exception {
        try (Socket socket = provenConnection()) {
            write(socket, inference());
        }
        await(() -> request.attempts.size() == 1 && request.states.size() == 1);
        AttemptTrace attempt = harness.call(() -> request.attempts.get(0));
        assertTrue(attempt.endedAt >= attempt.lastByteAt);
    }

    @Test
    void whatAWorkerWroteBeforeItHungArrives() throws Exception {
        try (Socket socket = provenConnection()) {
            write(socket, inference());
            await(() -> hangOnceAnswered());
            assertEquals("202", status(socket));
        }
    }

    private boolean hangOnceAnswered() {
        boolean answered =
                !request.attempts.isEmpty()
                        && request.attempts.get(0).endedAt != RequestTrace.NEVER;
        if (answered) {
            worker.hang(HangMode.STOPPED);
        }
        return answered;
    }
}
