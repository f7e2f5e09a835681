package sorrelhoist.core.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class TakenReleasesTest {
    @Test
    void whatAnAttemptWasToTakeIsReleasedWhenItsConnectionNeverCameUp() {
        TakenReleases taken = new TakenReleases();
        taken.taken("a", "r1");
        assertEquals("r1", taken.unreached("a"));
        assertNull(taken.unreached("a"), "once");
        assertNull(taken.unreached("b"));
    }

    @Test
    void whatAnAttemptReachedIsItsOwnAndNothingIsKeptOfIt() {
        TakenReleases taken = new TakenReleases();
        taken.taken("a", "r1");
        taken.settled("a");
        assertNull(taken.unreached("a"));
        assertEquals(0, taken.size());
    }
}
