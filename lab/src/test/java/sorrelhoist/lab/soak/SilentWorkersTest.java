package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import sorrelhoist.lab.soak.FaultProxy.AfterSilence;
import sorrelhoist.lab.soak.WorkerEntry.Role;

/** Workers that hang and links that fall silent behave as stopped processes and lost paths do. */
class SilentWorkersTest {
    private static final int BOUND_MILLIS = 20_000;
    private static final int QUIET_MILLIS = 300;
    private static final String ID = "r1";

    private final HarnessLoop harness = new HarnessLoop();
    private final TrafficLog log = new TrafficLog();
    private final RequestTrace request =
            new RequestTrace(ID, FleetRules.RequestClass.SAFE, 0, 0, 1_000_000_000, true);
    private final WorkerStandIn worker =
            new WorkerStandIn("w0", Role.READ, harness.eventLoop(), log, 1, BOUND_MILLIS);
    private final FaultProxy link = new FaultProxy(harness.eventLoop(), worker);

    @BeforeEach
    void start() throws Exception {
        log.add(request);
        worker.start();
        link.open();
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private Socket connect() throws IOException {
        int port = Integer.parseInt(link.endpoint().split(":")[1]);
        Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setSoTimeout(BOUND_MILLIS);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String prefill() {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Call-Id: "
                + ID
                + "\r\nX-Budget-Ms: 1000\r\nContent-Length: 2\r\n\r\n{}";
    }

    private static String status(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        return new String(in.readNBytes(12), StandardCharsets.ISO_8859_1).substring(9);
    }

    private int attempts() throws Exception {
        return harness.call(() -> request.attempts.size());
    }

    private void await(BooleanSupplier condition) throws Exception {
        long bound = System.nanoTime() + BOUND_MILLIS * 1_000_000L;
        while (!harness.call(condition::getAsBoolean)) {
            assertTrue(System.nanoTime() < bound, "never");
        }
    }

    private void assertNoAnswer(Socket socket) throws IOException {
        socket.setSoTimeout(QUIET_MILLIS);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        socket.setSoTimeout(BOUND_MILLIS);
    }

    /** Opens a connection that is known to pass bytes. */
    private Socket provenConnection() throws Exception {
        Socket socket = connect();
        write(socket, "DELETE /v1/holds/" + ID + " HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals("204", status(socket));
        socket.getInputStream().skipNBytes(" No Content\r\n\r\n".length());
        return socket;
    }

    @Test
    void aHungWorkerTakesNothingUntilItRunsAgain() throws Exception {
        try (Socket socket = provenConnection()) {
            harness.run(() -> worker.setHanging(true));
            write(socket, prefill());
            assertNoAnswer(socket);
            assertEquals(0, attempts());
            harness.run(() -> worker.setHanging(false));
            assertEquals("202", status(socket));
            long arrivedAt = harness.call(() -> request.attempts.get(0).arrivedAt);
            long firstByteAt = harness.call(() -> request.attempts.get(0).firstByteAt);
            assertTrue(arrivedAt - firstByteAt > QUIET_MILLIS * 500_000L);
        }
    }

    @Test
    void aHungWorkerReleasesNothing() throws Exception {
        try (Socket socket = provenConnection()) {
            harness.run(() -> worker.setHanging(true));
            write(socket, "DELETE /v1/holds/" + ID + " HTTP/1.1\r\nHost: a\r\n\r\n");
            assertNoAnswer(socket);
        }
    }

    @Test
    void whatAHungWorkerFindsOnAClosedConnectionLeavesItsState() throws Exception {
        try (Socket socket = provenConnection()) {
            harness.run(() -> worker.setHanging(true));
            write(socket, prefill());
        }
        assertEquals(0, attempts());
        harness.run(() -> worker.setHanging(false));
        await(() -> request.states.size() == 1);
    }

    @Test
    void whatWasWrittenIntoASilenceArrivesAfterIt() throws Exception {
        try (Socket socket = provenConnection()) {
            harness.run(link::silence);
            write(socket, prefill());
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
            write(socket, prefill());
        }
        harness.run(() -> link.endSilence(AfterSilence.DELIVER));
        await(() -> request.attempts.size() == 1);
    }

    @Test
    void whatWasWrittenBeforeAResetNeverArrives() throws Exception {
        try (Socket socket = provenConnection()) {
            harness.run(link::silence);
            write(socket, prefill());
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
            write(socket, prefill());
            harness.run(() -> link.endSilence(AfterSilence.DELIVER));
            assertNoAnswer(socket);
            harness.run(() -> link.endSilence(AfterSilence.DELIVER));
            assertEquals("202", status(socket));
        }
    }
}
