package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EventDelayMeterTest {
    private static final long SECOND = 1_000_000_000;
    private final EventDelayMeter meter = new EventDelayMeter();

    @Test
    void theLongestDelayOfAPartCounts() {
        long now = System.nanoTime();
        long delay = meter.add("t=" + (now - SECOND) + "; t=" + (now - 2 * SECOND) + "; t=" + now);
        assertTrue(delay >= 2 * SECOND, delay + " ns");
    }

    @Test
    void anEventMayBeSplitOverParts() {
        String text = "t=" + (System.nanoTime() - SECOND) + ";";
        assertEquals(0, meter.add(text.substring(0, 5)));
        assertTrue(meter.add(text.substring(5)) >= SECOND);
    }

    @Test
    void aResetForgetsAnUnfinishedEvent() {
        meter.add("t=1");
        meter.reset();
        assertEquals(0, meter.add("2;"));
    }
}
