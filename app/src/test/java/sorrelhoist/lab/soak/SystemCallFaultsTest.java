package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.net.Socket;
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

/**
 * Tests a router process whose system calls fail: it answers the requests that it has accepted, and
 * serves normally as soon as the calls succeed again.
 */
class SystemCallFaultsTest {
    private static final long WHOLE_AGAIN_MILLIS = 500;
    private static final long AT_ONCE_MILLIS = 1000;
    private static final long WAITED_MILLIS = 700;
    private static final long SLACK_MILLIS = 150;
    private static final int FEW = 3;
    @TempDir private Path folder;
    private RouterFixture fixture;
    private RouterNode router;
    private SystemCallFaults faults;

    @BeforeEach
    void start() throws Exception {
        Path library = SystemCallFaults.build(folder);
        assumeTrue(
                library != null,
                "no C compiler on this machine: system-call faults are not tested");
        fixture = new RouterFixture(folder, library, "-Xmx64m");
        router = fixture.router;
        faults = router.process.faults();
        assertEquals(200, fixture.requestStatus(), "before any fault");
    }

    @AfterEach
    void stop() {
        if (fixture != null) {
            fixture.close();
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"})
    void whereNoSocketCanBeMadeRequestsAreAnsweredAndServedAsSoonAsOneCan(Errno error)
            throws Exception {
        fixture.fleet.runOnLoop(() -> router.links.forEach(FaultProxy::reset));
        failing(SystemCall.SOCKET, error);
    }

    @ParameterizedTest
    @EnumSource(names = {"EADDRNOTAVAIL", "ENETUNREACH", "ETIMEDOUT", "EHOSTUNREACH"})
    void whereNoConnectionCanBeMadeRequestsAreAnsweredAndServedAsSoonAsOneCan(Errno error)
            throws Exception {
        fixture.fleet.runOnLoop(() -> router.links.forEach(FaultProxy::reset));
        failing(SystemCall.CONNECT, error);
    }

    private void failing(SystemCall call, Errno error) throws Exception {
        faults.fail(call, error, 1);
        for (int i = 0; i < FEW; i++) {
            long from = System.nanoTime();
            int status = fixture.requestStatus();
            assertTrue(
                    status == 502 || status == 503,
                    "answered " + status + ": " + router.process.log());
            // An attempt fails at once if its connection cannot be started; the router has nothing
            // to wait for.
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
            assertTrue(took < AT_ONCE_MILLIS, "answered after " + took + " ms");
        }
        assertTrue(faults.failures(call) > 0, "the fault was never triggered");
        faults.clear(call);
        assertServedAgain();
    }

    /**
     * Simulates a process that has reached its limit of descriptors: it can open no sockets and no
     * files either, not even log files.
     */
    @Test
    void aMomentWithoutDescriptorsIsSurvived() throws Exception {
        List<SystemCall> needing = List.of(SystemCall.OPEN, SystemCall.SOCKET, SystemCall.ACCEPT);
        try (Socket kept = fixture.connect()) {
            fixture.fleet.runOnLoop(() -> router.links.forEach(FaultProxy::reset));
            needing.forEach(call -> faults.fail(call, Errno.EMFILE, 1));
            int status = fixture.requestStatus(kept);
            assertTrue(
                    status == 502 || status == 503,
                    "answered " + status + ": " + router.process.log());
            try (Socket waiting = fixture.connect()) {
                awaitFailures(SystemCall.ACCEPT);
                needing.forEach(faults::clear);
                assertServedAgain();
                assertEquals(200, fixture.requestStatus(waiting), "waited in the accept queue");
            }
        }
        assertTrue(faults.failures(SystemCall.SOCKET) > 0, "the fault was never triggered");
    }

    @ParameterizedTest
    @EnumSource(names = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED"})
    void connectionsThatCouldNotBeAcceptedAreAcceptedAsSoonAsTheyCanBe(Errno error)
            throws Exception {
        faults.fail(SystemCall.ACCEPT, error, 1);
        try (Socket waiting = fixture.connect()) {
            awaitFailures(SystemCall.ACCEPT);
            faults.clear(SystemCall.ACCEPT);
            assertServedAgain();
            assertEquals(200, fixture.requestStatus(waiting), "waited in the accept queue");
        }
    }

    @Test
    void timeThatAConnectionWaitedToBeAcceptedIsNotLeftToItsWorkers() throws Exception {
        faults.fail(SystemCall.ACCEPT, Errno.EMFILE, 1);
        try (Socket waiting = fixture.connect()) {
            long sentAt = System.nanoTime();
            RouterFixture.Sent sent = fixture.send(waiting, 0);
            awaitFailures(SystemCall.ACCEPT);
            Thread.sleep(WAITED_MILLIS);
            faults.clear(SystemCall.ACCEPT);
            assertEquals(200, sent.answer());
            RequestTrace.AttemptTrace write =
                    fixture.fleet.callOnLoop(() -> sent.trace().attempts.get(1));
            long left =
                    RouterFixture.BUDGET_MILLIS
                            - TimeUnit.NANOSECONDS.toMillis(write.arrivedAt - sentAt);
            assertTrue(
                    write.budgetMillis <= left + SLACK_MILLIS,
                    "budget of " + write.budgetMillis + " of " + left + " ms");
        }
    }

    @Test
    void interruptedWaitsAndShortReadsAndWritesChangeNothing() throws Exception {
        faults.fail(SystemCall.EPOLL_WAIT, Errno.EINTR, 2);
        faults.shorten(SystemCall.READ, 1);
        faults.shorten(SystemCall.WRITE, 1);
        for (int i = 0; i < FEW; i++) {
            assertEquals(200, fixture.requestStatus());
        }
        for (SystemCall call : List.of(SystemCall.EPOLL_WAIT, SystemCall.READ, SystemCall.WRITE)) {
            assertTrue(faults.failures(call) > 0, call + " was never made to fail");
        }
    }

    private void awaitFailures(SystemCall call) throws InterruptedException {
        long bound = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RouterFixture.BOUND_MILLIS);
        while (faults.failures(call) == 0 && System.nanoTime() < bound) {
            Thread.sleep(1);
        }
        assertTrue(faults.failures(call) > 0, "the fault was never triggered");
    }

    private void assertServedAgain() throws Exception {
        long healed = System.nanoTime();
        int status = fixture.requestStatus();
        while (status != 200
                && System.nanoTime() - healed
                        < TimeUnit.MILLISECONDS.toNanos(RouterFixture.BOUND_MILLIS)) {
            status = fixture.requestStatus();
        }
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - healed);
        assertEquals(200, status, router.process.log());
        assertTrue(took <= WHOLE_AGAIN_MILLIS, "served again only after " + took + " ms");
    }
}
