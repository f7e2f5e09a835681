package sorrelhoist.core.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
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
    void aNeighbourCountsWhileItsWordIsFreshAndUntilItLeaves() {
        Neighbours n = new Neighbours(0, 2, 0);
        assertFalse(n.any(0));
        assertTrue(n.heard(0, 0, "@here"));
        assertFalse(n.any(0), "its own word is no neighbour");
        assertTrue(n.heard(0, 1, "@here"));
        assertTrue(n.any(2_000_000));
        assertFalse(n.any(3_000_000));
        n.heard(3_000_000, 1, "@here");
        n.heard(3_100_000, 1, "@leaving");
        assertFalse(n.any(3_100_000));
        assertFalse(n.heard(0, 1, "r1:l0.250 "));
    }

    @Test
    void oneThatHasJustStartedSaysNothingYetAndOneThatLeavesSaysSo() {
        Neighbours n = new Neighbours(3, 10, 1_000_000);
        assertNull(n.word(2_000_000, false));
        assertEquals("@leaving", n.word(2_000_000, true));
        assertEquals("@here", n.word(6_000_000, false));
    }

    /** Each word is priced for each receiver: a hundred routers must not say a hundred a second. */
    @Test
    void allTogetherSayAFewWordsASecondAndOneIsAlwaysFresh() {
        for (int routers : new int[] {2, 3, 20, 100, 150}) {
            List<Long> words = new ArrayList<>();
            for (int i = 0; i < routers; i++) {
                Neighbours n = new Neighbours(i, routers, 0);
                for (long t = n.first(); t < 120_000_000; t += n.every()) {
                    words.add(t);
                }
            }
            Collections.sort(words);
            long seconds = (120_000_000 - words.get(0)) / 1_000_000;
            assertTrue(words.size() <= 4 * (seconds + 2), routers + " say " + words.size());
            for (int i = 1; i < words.size(); i++) {
                assertTrue(words.get(i) - words.get(i - 1) <= 1_000_000);
            }
        }
    }
}
