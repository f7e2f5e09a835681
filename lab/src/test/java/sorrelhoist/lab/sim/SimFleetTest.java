package sorrelhoist.lab.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * The fleet in virtual time: the same from the same seed, and its readers do keep what they have
 * read.
 */
class SimFleetTest {
    private static final long SECOND = 1_000_000;

    private static SimulatedFleet.Tally played(long seed, int router) {
        SimulatedFleet fleet = new SimulatedFleet(3, 4, 3, 12, seed);
        fleet.run(20 * SECOND);
        return fleet.takeTally(router);
    }

    @Test
    void aSeedGivesTheSameDay() {
        SimulatedFleet.Tally a = played(1, 0);
        SimulatedFleet.Tally b = played(1, 0);
        assertEquals(a.meanFirst(), b.meanFirst());
        assertEquals(a.missed, b.missed);
        assertNotEquals(a.meanFirst(), played(2, 0).meanFirst());
        assertTrue(a.served > 50);
    }

    @Test
    void textsThatAreKeptAreNotReadAnew() {
        SimulatedFleet fleet = new SimulatedFleet(3, 4, 3, 12, 3);
        fleet.run(5 * SECOND);
        double early = fleet.takeTally(0).missedShare();
        fleet.run(60 * SECOND);
        fleet.takeTally(0);
        fleet.run(20 * SECOND);
        assertTrue(fleet.takeTally(0).missedShare() < 0.7 * early);
    }

    @Test
    void aRestartedRouterKnowsNothingUntilItIsTaught() {
        SimulatedFleet fleet = new SimulatedFleet(3, 4, 3, 12, 4);
        fleet.run(20 * SECOND);
        fleet.restart(0);
        assertEquals(0, fleet.exportKnowledge(0).keys().size());
        fleet.importKnowledge(0, fleet.exportKnowledge(1), 0);
        assertTrue(fleet.exportKnowledge(0).keys().size() > 20);
        fleet.run(10 * SECOND);
        assertTrue(fleet.takeTally(0).served > 20);
    }
}
