package sorrelhoist.core.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sorrelhoist.core.members.ReplicaSlots.Slot;

/** Tests the numbers of routers that join, leave and return. */
class ReplicaSlotsTest {
    private static final long SECOND = 1_000_000;

    @Test
    void routersKeepNumbersUntilLeasesExpire() {
        ReplicaSlots slots = new ReplicaSlots(2, 10 * SECOND);
        slots.join("x");
        assertEquals(new Slot(2, 0), slots.slotOf("x"));
        slots.join("y");
        slots.join("z");
        assertEquals(new Slot(3, 2), slots.slotOf("z"));
        slots.leave(0, "x");
        assertFalse(slots.expireLeases(9 * SECOND));
        assertEquals(3, slots.slotOf("y").replicas());
        slots.join("x");
        assertFalse(slots.expireLeases(20 * SECOND));
        slots.leave(20 * SECOND, "x");
        assertTrue(slots.expireLeases(30 * SECOND));
        assertEquals(new Slot(2, 0), slots.slotOf("y"));
        assertEquals(new Slot(2, 1), slots.slotOf("z"));
        assertEquals("z", slots.routerAt(1));
        assertNull(slots.slotOf("x"));
    }
}
