package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DecayedRegressionTest {
    private final DecayedRegression regression = new DecayedRegression();

    @Test
    void startsOnTheInitialLineAndFollowsSamples() {
        assertEquals(30_000 + 60 * 500, regression.micros(500), 1e-6);
        assertEquals(90_000, regression.meanMicros(), 1e-6);
        for (int i = 0; i < 1000; i++) {
            regression.learn(i % 2 == 0 ? 1000 : 3000, i % 2 == 0 ? 20_000 : 40_000);
        }
        assertEquals(30_000, regression.micros(2000), 100);
        assertEquals(40_000, regression.micros(3000), 100);
    }

    @Test
    void aNegativeSlopeCountsAsZeroAndAnAdoptedRegressionHasTheGivenWeight() {
        for (int i = 0; i < 1000; i++) {
            regression.learn(i % 2 == 0 ? 1000 : 3000, i % 2 == 0 ? 40_000 : 20_000);
        }
        assertEquals(regression.micros(0), regression.micros(5000), 1e-9);
        DecayedRegression other = new DecayedRegression();
        other.adopt(regression.sums(), 10);
        assertEquals(10, other.weight());
        assertEquals(regression.micros(700), other.micros(700), 1e-6);
    }
}
