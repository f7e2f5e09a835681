package sorrelhoist.core.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.Routing.*;

/** When a record is worth keeping: at the edge of a rule, and once an incident. */
class DangerTest {
    private static final long RELEASE = 500_000;
    private static final long MINUTE = 60_000_000;
    private final List<String> raised = new ArrayList<>();
    private final List<Long> heard = new ArrayList<>();
    private final AnomalyTrigger danger =
            new AnomalyTrigger(
                    new DecisionListener() {
                        @Override
                        public void onDecision(long at, Event event, List<Action> actions) {
                            heard.add(at);
                        }
                    },
                    RELEASE,
                    (at, what) -> raised.add(what));

    private void read(long at, long id) {
        danger.onDecision(
                at,
                new AttemptEnded(id, 0, "r", Outcome.READ, 1, false, 0, ServerLoad.NONE),
                List.of());
    }

    private void answered(long at, RecordEntry.Completion how, long left, Reason.Kind why) {
        danger.onRequestCompleted(
                new RecordEntry.RequestCompleted(at, 1, how, 0, left, Reason.of(why)));
    }

    @Test
    void aStateThatIsHeldAlmostTooLongIsTold() {
        read(1000, 7);
        danger.onDecision(200_000, new TimerFired(7), List.of(new Send(7, "w", 0, Reason.UNKNOWN)));
        assertEquals(List.of(), raised);
        read(1000, 8);
        danger.onDecision(480_000, new TimerFired(8), List.of(new Release(8)));
        assertEquals(1, raised.size());
        assertTrue(
                raised.get(0).startsWith("rule five: a state was held for 479 ms of 500"),
                raised.toString());
        assertEquals(List.of(1000L, 200_000L, 1000L, 480_000L), heard);
    }

    @Test
    void anAnswerAtTheLastMomentIsToldAndOnesThatNobodyIsOwedAreNot() {
        answered(1, RecordEntry.Completion.LEFT, 5, Reason.Kind.UNKNOWN);
        answered(1, RecordEntry.Completion.REFUSED, 1_000_000, Reason.Kind.DOOR);
        assertEquals(List.of(), raised);
        answered(2, RecordEntry.Completion.FAILED, 5_000, Reason.Kind.REPEAT_UNSAFE);
        assertEquals(1, raised.size());
    }

    @Test
    void manyFailuresAtOnceAreToldOnceAnIncident() {
        for (int i = 0; i < 49; i++) {
            answered(i, RecordEntry.Completion.FAILED, MINUTE, Reason.Kind.REPEAT_UNSAFE);
        }
        assertEquals(List.of(), raised);
        for (int i = 0; i < 500; i++) {
            answered(100 + i, RecordEntry.Completion.FAILED, MINUTE, Reason.Kind.REPEAT_UNSAFE);
        }
        assertEquals(1, raised.size());
        for (int i = 0; i < 50; i++) {
            answered(
                    2 * MINUTE + i,
                    RecordEntry.Completion.FAILED,
                    MINUTE,
                    Reason.Kind.REPEAT_UNSAFE);
        }
        assertEquals(2, raised.size());
        for (int i = 0; i < 100; i++) {
            answered(
                    5 * MINUTE + i * 30_000L,
                    RecordEntry.Completion.FAILED,
                    MINUTE,
                    Reason.Kind.REPEAT_UNSAFE);
        }
        assertEquals(2, raised.size(), "spread over three seconds they are no incident");
    }
}
