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
import sorrelhoist.lab.soak.WorkerEntry.Role;

/** A stand-in worker behind a fault proxy, reached over sockets. */
abstract class WorkerStandInTestSupport {
    static final int BOUND_MILLIS = 20_000;
    static final int QUIET_MILLIS = 300;
    static final long BUDGET_MILLIS = 1000;
    static final String ID = "r1";

    final HarnessLoop harness = new HarnessLoop();
    final TrafficLog log = new TrafficLog();
    final RequestTrace request =
            new RequestTrace(ID, FleetRules.RequestClass.SAFE, 0, 0, 1_000_000_000, true);
    final WorkerStandIn worker;
    final FaultProxy link;

    WorkerStandInTestSupport(Role role) {
        worker = new WorkerStandIn("w0", role, harness.eventLoop(), log, 1, BOUND_MILLIS);
        link = new FaultProxy(harness.eventLoop(), worker, 1);
    }

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

    Socket connect() throws IOException {
        int port = Integer.parseInt(link.endpoint().split(":")[1]);
        Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setSoTimeout(BOUND_MILLIS);
        return socket;
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    static String inference() {
        return inference(ID, BUDGET_MILLIS);
    }

    static String inference(String id, long budgetMillis) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Call-Id: "
                + id
                + "\r\nX-Budget-Ms: "
                + budgetMillis
                + "\r\nContent-Length: 2\r\n\r\n{}";
    }

    static String status(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        return new String(in.readNBytes(12), StandardCharsets.ISO_8859_1).substring(9);
    }

    int attempts() throws Exception {
        return harness.call(() -> request.attempts.size());
    }

    void await(BooleanSupplier condition) throws Exception {
        long bound = System.nanoTime() + BOUND_MILLIS * 1_000_000L;
        while (!harness.call(condition::getAsBoolean)) {
            assertTrue(System.nanoTime() < bound, "never");
        }
    }

    void assertNoAnswer(Socket socket) throws IOException {
        socket.setSoTimeout(QUIET_MILLIS);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        socket.setSoTimeout(BOUND_MILLIS);
    }

    static String delete() {
        return "DELETE /v1/holds/" + ID + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    /** Opens a connection that is known to pass bytes. */
    Socket provenConnection() throws Exception {
        Socket socket = connect();
        write(socket, delete());
        assertEquals("204", status(socket));
        socket.getInputStream().skipNBytes(" No Content\r\n\r\n".length());
        return socket;
    }
}
