package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DecayingDelayTest {
    private static final long FADE = (long) DecayingDelay.FADE_MICROS;
    private final DecayingDelay delay = new DecayingDelay();

    @Test
    void aValueFadesToAThirdAndCanBeCleared() {
        delay.set(300, 0);
        assertEquals(300, delay.at(0), 1e-9);
        assertEquals(300 / Math.E, delay.at(FADE), 1e-9);
        delay.clear();
        assertEquals(0, delay.at(FADE));
    }

    @Test
    void incrementsCountWhatHasNotFaded() {
        assertEquals(1, delay.increment(0));
        assertEquals(2, delay.increment(0));
        assertEquals(1 + 2 / Math.E, delay.increment(FADE), 1e-9);
    }

    @Test
    void aSampleCountsTheMoreTheLongerAgoTheLastOneWas() {
        delay.set(100, 0);
        delay.approach(0, 0);
        assertEquals(100, delay.at(0), 1e-9);
        delay.approach(0, FADE);
        assertEquals(100 / Math.E, delay.at(FADE), 1e-9);
    }
}
