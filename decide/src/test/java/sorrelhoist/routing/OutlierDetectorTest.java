package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingSettings.Role;

class OutlierDetectorTest {
    private final PolicyParts parts = new PolicyParts();
    private final OutlierDetector outliers = parts.outliers;
    private final Endpoint r1 = parts.endpoint("r1");

    @Test
    void twoFailuresEjectAndTwoSuccessfulProbesReinstate() {
        outliers.recordFailure(r1);
        assertFalse(r1.health.ejected);
        outliers.recordFailure(r1);
        assertTrue(r1.health.ejected);
        assertFalse(outliers.isRecoveryProbeDue(r1));
        parts.advanceClock(400_000);
        assertTrue(outliers.isRecoveryProbeDue(r1));
        outliers.recordRecoveryProbe(r1);
        assertFalse(outliers.isRecoveryProbeDue(r1));
        outliers.recordSuccess(r1, 1);
        assertTrue(r1.health.ejected, "a single probe may succeed by chance");
        outliers.recordSuccess(r1, 1);
        assertFalse(r1.health.ejected);
        assertEquals(0, r1.health.failureRate);
    }

    @Test
    void theRecoveryBackoffDoublesWithEachFailedProbeUpToABound() {
        outliers.recordUnreachable(r1);
        assertTrue(r1.health.ejected, "a single refused connection ejects");
        assertEquals(400_000, r1.health.recoveryBackoffMicros);
        outliers.recordFailure(r1);
        assertEquals(800_000, r1.health.recoveryBackoffMicros);
        for (int i = 0; i < 9; i++) {
            outliers.recordFailure(r1);
        }
        assertEquals(4_000_000, r1.health.recoveryBackoffMicros);
    }

    @Test
    void slownessIsJudgedAgainstThePeers() {
        for (int i = 0; i < 9; i++) {
            for (Endpoint endpoint : parts.endpoints.serving(Role.READ)) {
                outliers.recordSuccess(endpoint, 9);
            }
        }
        assertFalse(r1.health.ejected, "all peers are equally slow");
        for (int i = 0; i < 9; i++) {
            outliers.recordSuccess(r1, 90);
        }
        assertTrue(r1.health.ejected);
    }
}
