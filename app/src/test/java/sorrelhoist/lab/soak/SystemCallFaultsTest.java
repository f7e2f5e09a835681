package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sorrelhoist.lab.soak.SystemCallFaults.Errno;
import sorrelhoist.lab.soak.SystemCallFaults.SystemCall;

/** A router process whose system calls fail: it answers what it took, and is whole again as soon as they work. */
class SystemCallFaultsTest {
    private static final int BOUND_MILLIS = 20_000;
    private static final int BUDGET_MILLIS = 3000;
    private static final long WHOLE_AGAIN_MILLIS = 500;
    private static final long AT_ONCE_MILLIS = 1000;
    private static final int FEW = 3;
    @TempDir
    private Path folder;
    private SoakFleet fleet;
    private SoakFleet.RouterUnit router;
    private SystemCallFaults faults;
    private int asked;

    @BeforeEach
    void start() throws Exception {
        Path library = SystemCallFaults.build(folder);
        assumeTrue(library != null, "no C compiler on this machine: system-call faults are not tested");
        List<String> command = List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m",
                "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), "sorrelhoist.platform.Platform");
        fleet = new SoakFleet(new SoakPlan(1, 1, 1, 2, List.of(), command, folder.resolve("fleet"), library, 1));
        router = fleet.routers.get(0);
        router.start();
        assertTrue(router.process.awaitReady(BOUND_MILLIS), router.process.log());
        faults = router.process.faults();
        assertEquals(200, ask(), "before any fault");
    }

    @AfterEach
    void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"})
    void whereNoSocketCanBeMadeRequestsAreAnsweredAndServedAsSoonAsOneCan(Errno error) throws Exception {
        fleet.run(() -> router.links.forEach(FaultProxy::reset));
        failing(SystemCall.SOCKET, error);
    }

    @ParameterizedTest
    @EnumSource(names = {"EADDRNOTAVAIL", "ENETUNREACH", "ETIMEDOUT", "EHOSTUNREACH"})
    void whereNoConnectionCanBeMadeRequestsAreAnsweredAndServedAsSoonAsOneCan(Errno error) throws Exception {
        fleet.run(() -> router.links.forEach(FaultProxy::reset));
        failing(SystemCall.CONNECT, error);
    }

    private void failing(SystemCall call, Errno error) throws Exception {
        faults.fail(call, error, 1);
        for (int i = 0; i < FEW; i++) {
            long from = System.nanoTime();
            int status = ask();
            assertTrue(status == 502 || status == 503, "answered " + status + ": " + router.process.log());
            // A connection that cannot even be tried is an outcome at once; nothing is to be waited for.
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
            assertTrue(took < AT_ONCE_MILLIS, "answered after " + took + " ms");
        }
        assertTrue(faults.failures(call) > 0, "the fault was never met");
        faults.heal(call);
        assertServedAgain();
    }

    /** As a process finds it whose limit of descriptors is used up: no file can be opened either, not even by a log. */
    @Test
    void aMomentWithoutDescriptorsIsSurvived() throws Exception {
        List<SystemCall> needing = List.of(SystemCall.OPEN, SystemCall.SOCKET, SystemCall.ACCEPT);
        try (Socket kept = connect()) {
            fleet.run(() -> router.links.forEach(FaultProxy::reset));
            needing.forEach(call -> faults.fail(call, Errno.EMFILE, 1));
            int status = ask(kept);
            assertTrue(status == 502 || status == 503, "answered " + status + ": " + router.process.log());
            try (Socket waiting = connect()) {
                awaitFailures(SystemCall.ACCEPT);
                needing.forEach(faults::heal);
                assertServedAgain();
                assertEquals(200, ask(waiting), "what waited in the queue");
            }
        }
        assertTrue(faults.failures(SystemCall.SOCKET) > 0, "the fault was never met");
    }

    @ParameterizedTest
    @EnumSource(names = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED"})
    void connectionsThatCouldNotBeAcceptedAreAcceptedAsSoonAsTheyCanBe(Errno error) throws Exception {
        faults.fail(SystemCall.ACCEPT, error, 1);
        try (Socket waiting = connect()) {
            awaitFailures(SystemCall.ACCEPT);
            faults.heal(SystemCall.ACCEPT);
            assertServedAgain();
            assertEquals(200, ask(waiting), "what waited in the queue");
        }
    }

    @Test
    void interruptedWaitsAndShortReadsAndWritesChangeNothing() throws Exception {
        faults.fail(SystemCall.EPOLL_WAIT, Errno.EINTR, 2);
        faults.shorten(SystemCall.READ, 1);
        faults.shorten(SystemCall.WRITE, 1);
        for (int i = 0; i < FEW; i++) {
            assertEquals(200, ask());
        }
        for (SystemCall call : List.of(SystemCall.EPOLL_WAIT, SystemCall.READ, SystemCall.WRITE)) {
            assertTrue(faults.failures(call) > 0, call + " was never made to fail");
        }
    }

    private void awaitFailures(SystemCall call) throws InterruptedException {
        long bound = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BOUND_MILLIS);
        while (faults.failures(call) == 0 && System.nanoTime() < bound) {
            Thread.sleep(1);
        }
        assertTrue(faults.failures(call) > 0, "the fault was never met");
    }

    private void assertServedAgain() throws Exception {
        long healed = System.nanoTime();
        int status = ask();
        while (status != 200 && System.nanoTime() - healed < TimeUnit.MILLISECONDS.toNanos(BOUND_MILLIS)) {
            status = ask();
        }
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - healed);
        assertEquals(200, status, router.process.log());
        assertTrue(took <= WHOLE_AGAIN_MILLIS, "served again only after " + took + " ms");
    }

    private Socket connect() throws IOException {
        String address = router.address();
        int colon = address.indexOf(':');
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1))), BOUND_MILLIS);
        socket.setSoTimeout(BUDGET_MILLIS + 500);
        return socket;
    }

    private int ask() throws Exception {
        try (Socket socket = connect()) {
            return ask(socket);
        }
    }

    /** {@return the status of one request's answer, read to its end; 0 where none came in its time, -1 after a close} */
    private int ask(Socket socket) throws Exception {
        RequestTrace trace = new RequestTrace("t" + asked++, FleetRules.RequestClass.SAFE, 0, 0, 0, true);
        fleet.run(() -> fleet.log.opened(trace));
        String body = "{\"model\":\"m\",\"messages\":[]}";
        socket.getOutputStream().write(("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Call-Id: " + trace.id
                + "\r\nX-Call-Class: safe\r\nX-Budget-Ms: " + BUDGET_MILLIS + "\r\nX-Call-Info: prompt_len=10,max_out=50\r\n"
                + "Connection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
        try {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                    StandardCharsets.US_ASCII));
            String first = in.readLine();
            String last = first;
            for (String line = first; line != null; line = in.readLine()) {
                last = line.isEmpty() ? last : line;
            }
            int status = first == null ? -1 : Integer.parseInt(first.split(" ")[1]);
            assertTrue(status != 200 || last.equals("0"), "a stream ended with " + last);
            return status;
        } catch (SocketTimeoutException e) {
            return 0;
        }
    }
}
