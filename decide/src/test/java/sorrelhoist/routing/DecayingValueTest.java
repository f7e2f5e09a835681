package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DecayingValueTest {
    private static final long FADE = (long) DecayingValue.DECAY_TIME_MICROS;
    private final DecayingValue delay = new DecayingValue();

    @Test
    void aValueDecaysToAThirdAndCanBeCleared() {
        delay.set(300, 0);
        assertEquals(300, delay.valueAt(0), 1e-9);
        assertEquals(300 / Math.E, delay.valueAt(FADE), 1e-9);
        delay.clear();
        assertEquals(0, delay.valueAt(FADE));
    }

    @Test
    void incrementsAddToTheDecayedValue() {
        assertEquals(1, delay.increment(0));
        assertEquals(2, delay.increment(0));
        assertEquals(1 + 2 / Math.E, delay.increment(FADE), 1e-9);
    }

    @Test
    void theWeightOfASampleGrowsWithTheTimeSinceTheLastOne() {
        delay.set(100, 0);
        delay.moveTowards(0, 0);
        assertEquals(100, delay.valueAt(0), 1e-9);
        delay.moveTowards(0, FADE);
        assertEquals(100 / Math.E, delay.valueAt(FADE), 1e-9);
    }
}
