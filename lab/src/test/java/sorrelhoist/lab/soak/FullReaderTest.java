package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import sorrelhoist.lab.soak.WorkerEntry.Role;
import sorrelhoist.lab.soak.WorkerSlots.Capacity;

/** A reader with memory for one state and one place in its queue. */
class FullReaderTest extends WorkerStandInTestSupport {
    private static final String SECOND = "r2";

    FullReaderTest() {
        super(Role.READ);
    }

    @BeforeEach
    void limitMemory() throws Exception {
        RequestTrace second =
                new RequestTrace(SECOND, FleetRules.RequestClass.SAFE, 0, 0, 1_000_000_000, true);
        harness.run(() -> log.add(second));
        harness.run(() -> worker.setCapacity(new Capacity(1, 1)));
    }

    @Test
    void aPrefillWaitsUntilTheStateThatFillsTheMemoryIsReleased() throws Exception {
        try (Socket first = connect();
                Socket waiting = connect()) {
            write(first, inference());
            assertEquals("202", status(first));
            write(waiting, inference(SECOND, BOUND_MILLIS));
            assertNoAnswer(waiting);
            harness.run(() -> worker.release(ID));
            assertEquals("202", status(waiting));
        }
    }
}
