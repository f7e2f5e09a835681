package sorrelhoist.core.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which part of the history of a reservation is logged. */
class ReservationHistoryTest {
    /** Length at which the log truncates a line. */
    private static final int KEPT_CHARACTERS = 400;

    /** Characters taken by the time, event, request, state, held time and number of releases. */
    private static final int CHARACTERS_BEFORE_HISTORY = 120;

    private static final int STEPS = 40;
    private static final long MILLI = 1000;
    private static final String ENGINE = "s-9a622335";

    private final ReservationHistory history = new ReservationHistory();

    private static String truncatedByLog(String text) {
        int room = KEPT_CHARACTERS - CHARACTERS_BEFORE_HISTORY;
        return text.substring(0, Math.min(text.length(), room));
    }

    private void addSteps(int number) {
        for (int i = 0; i < number; i++) {
            history.add(ReservationStep.RELEASE_UNPROVEN, ENGINE, i * MILLI);
        }
    }

    @Test
    void lastStepsOfLongHistoryAreNotTruncatedByLog() {
        addSteps(STEPS);
        history.add(ReservationStep.GIVEN_UP, ENGINE, STEPS * MILLI);
        history.add(ReservationStep.EXPIRED, "", (STEPS + 1) * MILLI);
        String kept = truncatedByLog(history.toString());
        String last = "+40:given-up@" + ENGINE + ",+41:expired";
        assertTrue(kept.endsWith(last), "the line ends with " + kept.substring(kept.length() - 40));
    }

    @Test
    void longHistoryReportsNumberOfOmittedSteps() {
        addSteps(STEPS);
        assertTrue(truncatedByLog(history.toString()).contains("left out"), history.toString());
    }

    @Test
    void shortHistoryIsComplete() {
        history.add(ReservationStep.HELD, "r0", 0);
        history.add(ReservationStep.SENT, "w0", 2 * MILLI);
        history.add(ReservationStep.EXPIRED, "", 3 * MILLI);
        assertEquals("+0:held@r0,+2:sent@w0,+3:expired", history.toString());
    }
}
