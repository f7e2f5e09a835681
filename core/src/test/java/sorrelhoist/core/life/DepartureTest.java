package sorrelhoist.core.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class DepartureTest {
    private static final long UNTIL = 3_000_000;

    @Test
    void streamsGoEvenlyAndAllAreGoneInTime() {
        Departure departure = new Departure(UNTIL);
        int left = 60;
        int most = 0;
        for (long t = 0; t < UNTIL; t += Departure.STEP) {
            int go = departure.due(t, left, true);
            most = Math.max(most, go);
            left -= go;
        }
        assertEquals(0, left);
        assertEquals(2, most);
        assertEquals(5, departure.due(UNTIL, 5, true));
    }

    @Test
    void noneGoesWhileNobodyIsThereToTakeIt() {
        Departure departure = new Departure(UNTIL);
        assertEquals(0, departure.due(0, 60, false));
        assertEquals(0, departure.due(UNTIL + 1, 60, false));
    }

    @Test
    void aNeighbourCountsOnceItHasBeenThereForAWhileAndUntilItLeavesOrFallsSilent() {
        Neighbours n = new Neighbours(0);
        long t = 0;
        for (; t < 4 * Neighbours.WORD; t += Neighbours.WORD) {
            assertTrue(n.heard(t, 0, n.word(false)));
            assertTrue(n.heard(t, 1, n.word(false)));
            assertFalse(n.any(t));
        }
        n.heard(t, 1, n.word(false));
        assertTrue(n.any(t));
        assertTrue(n.any(t + 2 * Neighbours.WORD));
        assertFalse(n.any(t + 3 * Neighbours.WORD));
        n.heard(t + Neighbours.WORD, 1, n.word(true));
        assertFalse(n.any(t + Neighbours.WORD));
        // Its next start is another: it has to settle again.
        n.heard(t + 4 * Neighbours.WORD, 1, n.word(false));
        assertFalse(n.any(t + 4 * Neighbours.WORD));
        assertFalse(n.heard(t, 1, "r1:l0.250 "));
    }
}
