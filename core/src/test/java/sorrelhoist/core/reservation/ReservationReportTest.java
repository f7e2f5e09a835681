package sorrelhoist.core.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import sorrelhoist.core.reservation.ReservationReport.State;

/** Tests the reports about reservations that were not consumed by their decodes. */
class ReservationReportTest extends ReservationTableTestSupport {
    private void writeDecode() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        now = 2000;
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, "w0", now);
        table.attemptConnecting(KEY, now);
        table.attemptWritten(KEY, now);
    }

    @Test
    void consumedStateIsNotReported() {
        writeDecode();
        table.streamStarted(KEY, now);
        assertEquals(0, table.size());
        assertEquals(0, reports.size());
    }

    @Test
    void stateWithoutDecodeIsNotReported() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
        table.markUnwanted(KEY, now);
        answerLast(true);
        assertEquals(0, reports.size());
    }

    @Test
    void stateOfFailedDecodeIsReportedWithHistoryOnRelease() {
        writeDecode();
        now = 30_000;
        table.attemptEnded(KEY, AttemptEnding.ANSWERED, now);
        table.markUnwanted(KEY, now);
        assertEquals(0, reports.size());
        now = 33_000;
        answerLast(true);
        assertEquals(1, reports.size());
        assertEquals(
                new ReservationReport(
                        "a",
                        State.RELEASED,
                        3000,
                        1,
                        "+0:held@r0,+2:sent@w0,+2:connecting@w0,+2:written@w0,+30:answered@w0,"
                                + "+30:unwanted,+30:release-sent@r0,+33:release-proven"),
                reports.get(0));
    }

    @Test
    void unreleasedStateIsReportedOnceAfterLimit() {
        writeDecode();
        table.attemptEnded(KEY, AttemptEnding.ANSWERED, now);
        table.markUnwanted(KEY, now);
        advanceTo(LIMIT);
        assertEquals(0, reports.size());
        advanceTo(3 * LIMIT);
        assertEquals(1, reports.size());
        assertEquals(State.OVERDUE, reports.get(0).state());
    }
}
