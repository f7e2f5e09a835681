package sorrelhoist.lab.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Bursts in virtual time: what the engines have capacity for is admitted, and every request ends
 * once.
 */
class AdmissionStudyTest {
    @ParameterizedTest
    @EnumSource(
            value = AdmissionStudy.Case.class,
            names = {"QUIET", "THIRD_IN_A_ROW", "DEAD_WRITER", "UNSAFE_QUARTER"})
    void whatEnginesHaveCapacityForIsAdmitted(AdmissionStudy.Case how) {
        AdmissionStudy.Burst b = AdmissionStudy.play(2, how, 5);
        assertEquals(300, b.asked());
        assertEquals(
                300, b.inTime() + b.late() + b.lost().values().stream().mapToInt(n -> n).sum());
        assertTrue(b.inTime() >= 285, how + ": " + b);
    }

    @Test
    void whatExceedsTheCapacityIsRejectedAndNotLate() {
        AdmissionStudy.Burst b = AdmissionStudy.play(2, AdmissionStudy.Case.AFTER_OVERLOAD, 5);
        assertEquals(
                300, b.inTime() + b.late() + b.lost().values().stream().mapToInt(n -> n).sum());
        assertTrue(b.inTime() >= 150 && b.late() <= 15, b.toString());
    }
}
