package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ShutdownPolicyTest {
    @Test
    void theKillFollowsTheLongestDeadline() {
        assertEquals(1_700_000, new ShutdownPolicy(Fleet.SECOND).killMicros());
        assertEquals(3_700_000, new ShutdownPolicy(3 * Fleet.SECOND).killMicros());
    }

    @Test
    void longDeadlinesCountAsThreeSeconds() {
        assertEquals(3_700_000, new ShutdownPolicy(30 * Fleet.SECOND).killMicros());
    }

    @Test
    void theLastAcceptedRequestHasItsWholeDeadlineBeforeTheKill() {
        for (long deadline = 100_000; deadline <= 3 * Fleet.SECOND; deadline += 100_000) {
            ShutdownPolicy policy = new ShutdownPolicy(deadline);
            assertTrue(policy.acceptingMicros() + deadline < policy.killMicros());
            assertTrue(policy.migratedMicros() < policy.killMicros());
        }
    }
}
