package sorrelhoist.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.engine.PrefillRequest;

class WorkQueueTest {
    private final WorkQueue queue = new WorkQueue(1);

    private static PrefillJob prefill(int tokens) {
        return new PrefillJob(
                null, new PrefillRequest("r", "c", "edge", 0, "", tokens, 5, 0), 0, false);
    }

    private static DecodeJob decode(int tokens) {
        return new DecodeJob(
                null,
                new DecodeRequest("r", "c", "edge", 1, "s", "a", "", tokens, 5, 0, "", 0),
                false);
    }

    @Test
    void onlyAsManyPrefillsProgressAsThereAreSlots() {
        PrefillJob first = prefill(10);
        queue.add(first);
        queue.add(prefill(20));
        assertEquals(List.of(first), queue.activePrefills());
        assertEquals(1, queue.queuedRequests());
        first.prefill(4);
        assertEquals(26, queue.queuedTokens());
        assertEquals(30, queue.memoryTokens());
    }

    @Test
    void waitingDecodesGetASlotInOrderOfArrival() {
        DecodeJob first = decode(10);
        DecodeJob second = decode(20);
        queue.add(first);
        queue.add(second);
        assertSame(first, queue.nextWaiting());
        queue.startNextWaiting();
        assertTrue(queue.isRunning(first));
        assertNull(queue.nextWaiting());
        assertTrue(queue.remove(first));
        assertFalse(queue.remove(first));
        assertSame(second, queue.nextWaiting());
    }

    @Test
    void onlyRunningDecodesTakeMemory() {
        queue.add(decode(10));
        assertEquals(0, queue.memoryTokens());
        queue.startNextWaiting();
        assertEquals(15, queue.memoryTokens());
    }
}
