package sorrelhoist.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class AdmissionControllerTest {
    private static final int SLOTS = 2;
    private final EngineSettings settings = TestSettings.of("both", SLOTS);
    private final SlotReservations reservations = new SlotReservations();
    private final InjectedFaults faults = new InjectedFaults(1);
    private final EngineLoad load =
            new EngineLoad(
                    settings, new WorkQueue(SLOTS), new PrefillStateStore(null), reservations);
    private final AdmissionController admission =
            new AdmissionController(
                    settings, load, new ColdStartGuard(settings, 0), faults, () -> {});

    @Test
    void requestsAreAdmittedUpToSlotsAndQueue() {
        assertNull(admission.rejectionReason(3, 10));
        assertEquals("slots and queue are full", admission.rejectionReason(4, 10));
    }

    @Test
    void aRequestIsAdmittedBeyondTheMemoryByWhatTheQueueMayHold() {
        reservations.reserve("e1-p1", 1000, 0);
        assertNull(admission.rejectionReason(0, 10));
        reservations.reserve("e1-p2", 11, 0);
        assertEquals("memory is full", admission.rejectionReason(0, 10));
    }

    @Test
    void nothingIsAdmittedWhileDraining() {
        faults.setDraining(true);
        assertEquals("draining", admission.rejectionReason(0, 10));
    }
}
