package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

class InFlightAttemptsTest {
    private final PolicyParts parts = new PolicyParts();
    private final InFlightAttempts inFlight = parts.endpoint("w1").inFlight;

    @Test
    void theOldestAwaitedAttemptIsOverdueUntilALaterOneIsAnswered() {
        Attempt first = parts.start(parts.request(1, "a", null, 10, 0), "w1", false, 1000);
        parts.advanceClock(500);
        Attempt second = parts.start(parts.request(2, "b", null, 10, 0), "w1", false, 1000);
        assertEquals(2000, inFlight.awaitedMicros());
        assertEquals(2000, inFlight.tokens());
        assertEquals(4000, inFlight.overdueMicros(first.sentAt + 5000));
        inFlight.recordAnswered(second);
        inFlight.answered(2);
        assertFalse(inFlight.isNewerThanAnswered(first));
        assertEquals(
                0,
                inFlight.overdueMicros(first.sentAt + 5000),
                "the earlier attempt is lost, not overdue");
        inFlight.ended(2, second);
        assertEquals(1, inFlight.count());
        assertEquals(1000, inFlight.tokens());
    }
}
