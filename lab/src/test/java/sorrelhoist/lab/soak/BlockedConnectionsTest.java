package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import sorrelhoist.lab.soak.FaultProxy.AfterSilence;
import sorrelhoist.lab.soak.WorkerEntry.Role;

/** New connections to a machine that is cut off never come up; some come up late. */
class BlockedConnectionsTest extends WorkerStandInTestSupport {
    private static final long REPEATED_SYN_MILLIS = 1000;

    BlockedConnectionsTest() {
        super(Role.READ);
    }

    private InetSocketAddress address() throws IOException {
        int port = Integer.parseInt(link.endpoint().split(":")[1]);
        return new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port);
    }

    /** Neither accepted nor refused: other outcomes are other exceptions, or none. */
    private void assertNeverComesUp() throws IOException {
        try (Socket socket = new Socket()) {
            InetSocketAddress address = address();
            assertThrows(SocketTimeoutException.class, () -> socket.connect(address, QUIET_MILLIS));
        }
    }

    @Test
    void aNewConnectionToAMachineThatIsCutOffNeverComesUp() throws Exception {
        harness.run(link::silence);
        for (int i = 0; i < 3; i++) {
            assertNeverComesUp();
        }
        harness.run(() -> link.endSilence(AfterSilence.DELIVER));
        provenConnection().close();
    }

    @Test
    void aNewConnectionNeverComesUpWhileOthersPassEverythingOn() throws Exception {
        try (Socket open = provenConnection()) {
            harness.run(link::blockConnections);
            assertNeverComesUp();
            write(open, inference());
            assertEquals("202", status(open));
            harness.run(link::unblockConnections);
        }
        provenConnection().close();
    }

    @Test
    void aConnectionThatIsStillConnectingAfterTheBlockComesUpLate() throws Exception {
        harness.run(link::blockConnections);
        long startedAt = System.nanoTime();
        harness.schedule(link::unblockConnections, QUIET_MILLIS);
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(BOUND_MILLIS);
            socket.connect(address(), BOUND_MILLIS);
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
            assertTrue(millis >= REPEATED_SYN_MILLIS - QUIET_MILLIS, millis + " ms");
            write(socket, inference());
            assertEquals("202", status(socket));
        }
    }

    @Test
    void aBlockThatOverlapsASilenceEndsWithTheLast() throws Exception {
        harness.run(link::silence);
        harness.run(link::blockConnections);
        harness.run(() -> link.endSilence(AfterSilence.RESET));
        assertNeverComesUp();
        harness.run(link::unblockConnections);
        provenConnection().close();
    }

    @Test
    void aWorkerThatStartsAgainIsStillCutOff() throws Exception {
        harness.run(link::silence);
        harness.run(link::close);
        assertThrows(IOException.class, this::connect);
        link.open();
        assertNeverComesUp();
        harness.run(() -> link.endSilence(AfterSilence.DELIVER));
        provenConnection().close();
    }

    @Test
    void connectionsComeUpAfterManyBlocksInARow() throws Exception {
        for (int i = 0; i < 20; i++) {
            harness.run(link::blockConnections);
            harness.run(link::unblockConnections);
        }
        provenConnection().close();
    }
}
