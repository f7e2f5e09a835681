package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import sorrelhoist.lab.soak.RequestTrace.StateTrace;
import sorrelhoist.lab.soak.WorkerEntry.Role;

/** A worker drops requests that have little time left, and says nothing. */
class DroppedRequestTest extends WorkerStandInTestSupport {
    private static final long MIN_MILLIS_LEFT = 400;
    private static final long TOO_LITTLE_MILLIS = MIN_MILLIS_LEFT / 2;
    private final StateTrace state = new StateTrace("r0", System.nanoTime());

    DroppedRequestTest() {
        super(Role.WRITE);
        request.states.add(state);
    }

    @BeforeEach
    void dropRequestsWithLittleTimeLeft() throws Exception {
        harness.run(() -> worker.setMinMillisLeft(MIN_MILLIS_LEFT));
        harness.run(() -> worker.setMaxQueueMillis(0));
    }

    /** It has not run, its connection is open, and its state waits for nobody. */
    private void assertDropped(Socket socket) throws Exception {
        await(() -> request.attempts.size() == 1);
        await(() -> request.attempts.get(0).droppedAt != RequestTrace.NEVER);
        assertNoAnswer(socket);
        assertEquals(RequestTrace.NEVER, harness.call(() -> request.attempts.get(0).endedAt));
        assertFalse(harness.call(() -> request.attempts.get(0).mayHaveRun()));
        assertTrue(harness.call(state::isHeld));
        harness.run(() -> worker.release(ID));
        assertFalse(harness.call(state::isHeld));
    }

    @Test
    void aRequestThatComesWithLittleTimeIsDroppedAndItsConnectionStaysOpen() throws Exception {
        try (Socket socket = connect()) {
            write(socket, inference(ID, TOO_LITTLE_MILLIS));
            assertDropped(socket);
        }
    }

    @Test
    void aRequestWhoseTimeGetsShortInTheQueueIsDropped() throws Exception {
        try (Socket socket = connect()) {
            harness.run(() -> worker.hang(HangMode.STALLED));
            write(socket, inference());
            await(() -> request.attempts.size() == 1);
            long arrivedAt = harness.call(() -> request.attempts.get(0).arrivedAt);
            long littleTimeAt = arrivedAt + 1_000_000 * (BUDGET_MILLIS - TOO_LITTLE_MILLIS);
            await(() -> System.nanoTime() > littleTimeAt);
            harness.run(worker::resume);
            assertDropped(socket);
        }
    }

    @Test
    void aRequestWithEnoughTimeIsServed() throws Exception {
        try (Socket socket = connect()) {
            write(socket, inference());
            assertEquals("200", status(socket));
        }
    }
}
