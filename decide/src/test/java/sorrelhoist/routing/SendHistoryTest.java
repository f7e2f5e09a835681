package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static sorrelhoist.routing.Fixtures.SECOND;

import org.junit.jupiter.api.Test;

class SendHistoryTest {
    private final SendHistory history = new SendHistory();

    @Test
    void loadIsThePrefillTimeSentWithinTheWindow() {
        history.recordSend(0, 100);
        history.recordSend(SECOND, 50);
        assertEquals(150, history.load());
        assertEquals(1, history.sentAfter(0));
        assertEquals(50, history.refreshLoad(SendHistory.LOAD_WINDOW_MICROS + 1));
        assertEquals(1, history.size());
        assertEquals(0, history.refreshLoad(3 * SendHistory.LOAD_WINDOW_MICROS));
    }

    @Test
    void answersAreCountedFromATime() {
        history.recordAnswer(1);
        history.recordAnswer(5);
        assertEquals(2, history.answersSince(1));
        assertEquals(1, history.answersSince(2));
    }
}
