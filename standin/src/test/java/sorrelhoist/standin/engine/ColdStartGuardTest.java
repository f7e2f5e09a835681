package sorrelhoist.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ColdStartGuardTest {
    private static final long SECOND = 1_000_000;
    private final ColdStartGuard guard = new ColdStartGuard(TestSettings.of("both", 1), 0);

    private int requestsUntilOverload(long nowMicros) {
        for (int count = 1; count <= 10_000; count++) {
            if (guard.countRequest(nowMicros)) {
                return count;
            }
        }
        return -1;
    }

    @Test
    void speedGrowsLinearlyUntilWarm() {
        assertEquals(0.3, guard.speed(0), 1e-9);
        assertEquals(0.65, guard.speed(SECOND), 1e-9);
        assertEquals(1, guard.speed(2 * SECOND), 1e-9);
        assertEquals(1, guard.speed(9 * SECOND), 1e-9);
    }

    @Test
    void aColdEngineIsOverloadedByMoreThanAMultipleOfItsCapacity() {
        // 3 times 30 % of 100 requests a second over 3 s are 270; chance adds 2 * sqrt(270) + 2.
        assertEquals(305, requestsUntilOverload(0));
    }

    @Test
    void requestsBeforeTheWindowAreForgotten() {
        for (int i = 0; i < 300; i++) {
            assertFalse(guard.countRequest(-4 * SECOND));
        }
        assertTrue(requestsUntilOverload(0) > 300);
    }

    @Test
    void aWarmEngineIsNeverOverloaded() {
        assertEquals(-1, requestsUntilOverload(2 * SECOND));
    }
}
