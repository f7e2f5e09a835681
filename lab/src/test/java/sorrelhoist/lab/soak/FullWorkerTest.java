package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import sorrelhoist.lab.soak.RequestTrace.StateTrace;
import sorrelhoist.lab.soak.WorkerEntry.Role;
import sorrelhoist.lab.soak.WorkerSlots.Capacity;

/**
 * A writer with one slot and one place in its queue, and streams that end with their connection.
 */
class FullWorkerTest extends WorkerStandInTestSupport {
    private static final String SECOND = "r2";
    private static final String THIRD = "r3";
    private final StateTrace firstState = new StateTrace("r0", System.nanoTime());
    private final StateTrace secondState = new StateTrace("r0", System.nanoTime());
    private final List<Socket> opened = new ArrayList<>();
    private RequestTrace second;

    FullWorkerTest() {
        super(Role.WRITE);
        request.states.add(firstState);
    }

    @BeforeEach
    void fill() throws Exception {
        second = addRequest(SECOND);
        second.states.add(secondState);
        addRequest(THIRD).states.add(new StateTrace("r0", System.nanoTime()));
        harness.run(() -> worker.setMisbehaviour(Misbehaviour.SILENT_IN_STREAM, 1));
        harness.run(() -> worker.setCapacity(new Capacity(1, 1)));
    }

    @AfterEach
    void closeConnections() throws Exception {
        for (Socket socket : opened) {
            socket.close();
        }
    }

    private RequestTrace addRequest(String id) throws Exception {
        RequestTrace added =
                new RequestTrace(id, FleetRules.RequestClass.SAFE, 0, 0, 1_000_000_000, true);
        harness.run(() -> log.add(added));
        return added;
    }

    private Socket send(String id) throws Exception {
        Socket socket = connect();
        opened.add(socket);
        write(socket, inference(id, BOUND_MILLIS));
        return socket;
    }

    /** The first request takes the slot. */
    private Socket streaming() throws Exception {
        Socket socket = send(ID);
        await(() -> !firstState.isHeld());
        return socket;
    }

    private Socket queued() throws Exception {
        Socket socket = send(SECOND);
        await(() -> second.attempts.size() == 1);
        return socket;
    }

    private void assertIsTurnedAway(String id) throws Exception {
        assertEquals("503", status(send(id)));
    }

    @Test
    void whatFitsNeitherTheSlotsNorTheQueueIsTurnedAway() throws Exception {
        streaming();
        queued();
        assertIsTurnedAway(THIRD);
        assertFalse(harness.call(() -> log.find(THIRD).attempts.get(0).mayHaveRun()));
    }

    @Test
    void aDecodeWaitsWhileTheSlotIsTakenAndKeepsItsState() throws Exception {
        Socket first = streaming();
        assertNoAnswer(queued());
        harness.run(() -> worker.release(SECOND));
        assertTrue(harness.call(secondState::isHeld));
        first.close();
        await(() -> !secondState.isHeld());
    }

    @Test
    void aDecodeThatIsGivenUpInTheQueueMakesRoom() throws Exception {
        streaming();
        queued().close();
        await(() -> !second.attempts.get(0).isWaitingForState());
        assertNoAnswer(send(THIRD));
    }

    @Test
    void aDecodeThatIsGivenUpStaysInTheQueueOfAWorkerThatCancelsNothing() throws Exception {
        harness.run(() -> worker.setCancelsQueuedAttempts(false));
        Socket first = streaming();
        queued().close();
        await(() -> second.attempts.get(0).endedAt != RequestTrace.NEVER);
        assertIsTurnedAway(THIRD);
        first.close();
        await(() -> !secondState.isHeld());
    }

    @Test
    void aWorkerThatStartsAgainIsEmpty() throws Exception {
        streaming();
        queued();
        harness.run(worker::kill);
        worker.start();
        send(THIRD);
        await(() -> log.find(THIRD).states.stream().noneMatch(StateTrace::isHeld));
    }

    @Test
    void aFullWorkerServesWhatFits() throws Exception {
        harness.run(() -> worker.setMisbehaviour(Misbehaviour.FULL, 1));
        assertEquals("200", status(send(ID)));
    }
}
