package sorrelhoist.core.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.TimerFired;

/** Reports of anomalies: values close to the limit of a rule, and one report per incident. */
class AnomalyTriggerTest {
    private static final long RESERVATION_LIMIT = 500_000;
    private static final long MINUTE = 60_000_000;
    private final List<String> reported = new ArrayList<>();
    private final List<Long> decided = new ArrayList<>();
    private final AnomalyTrigger trigger =
            new AnomalyTrigger(
                    new DecisionListener() {
                        @Override
                        public void onDecision(long at, Event event, List<Action> actions) {
                            decided.add(at);
                        }
                    },
                    RESERVATION_LIMIT,
                    (at, what) -> reported.add(what));

    private void prefillDone(long at, long id) {
        trigger.onDecision(
                at,
                new AttemptEnded(id, 0, "r", Outcome.READ, 1, false, 0, ServerLoad.NONE),
                List.of());
    }

    private void completed(long at, RecordEntry.Completion how, long left, Reason.Kind why) {
        trigger.onRequestCompleted(
                new RecordEntry.RequestCompleted(at, 1, how, 0, left, Reason.of(why)));
    }

    @Test
    void aStateThatIsHeldAlmostTooLongIsReported() {
        prefillDone(1000, 7);
        trigger.onDecision(
                200_000, new TimerFired(7), List.of(new Send(7, "w", 0, Reason.UNKNOWN)));
        assertEquals(List.of(), reported);
        prefillDone(1000, 8);
        trigger.onDecision(480_000, new TimerFired(8), List.of(new Release(8)));
        assertEquals(1, reported.size());
        assertTrue(
                reported.get(0).startsWith("rule five: a state was held for 479 ms of 500"),
                reported.toString());
        assertEquals(List.of(1000L, 200_000L, 1000L, 480_000L), decided);
    }

    @Test
    void aLateRejectionOrFailureIsReportedUnlessTheClientLeft() {
        completed(1, RecordEntry.Completion.LEFT, 5, Reason.Kind.UNKNOWN);
        completed(1, RecordEntry.Completion.REFUSED, 1_000_000, Reason.Kind.DOOR);
        assertEquals(List.of(), reported);
        completed(2, RecordEntry.Completion.FAILED, 5_000, Reason.Kind.REPEAT_UNSAFE);
        assertEquals(1, reported.size());
    }

    @Test
    void manyFailuresAtOnceAreReportedOnceAnIncident() {
        for (int i = 0; i < 49; i++) {
            completed(i, RecordEntry.Completion.FAILED, MINUTE, Reason.Kind.REPEAT_UNSAFE);
        }
        assertEquals(List.of(), reported);
        for (int i = 0; i < 500; i++) {
            completed(100 + i, RecordEntry.Completion.FAILED, MINUTE, Reason.Kind.REPEAT_UNSAFE);
        }
        assertEquals(1, reported.size());
        for (int i = 0; i < 50; i++) {
            completed(
                    2 * MINUTE + i,
                    RecordEntry.Completion.FAILED,
                    MINUTE,
                    Reason.Kind.REPEAT_UNSAFE);
        }
        assertEquals(2, reported.size());
        for (int i = 0; i < 100; i++) {
            completed(
                    5 * MINUTE + i * 30_000L,
                    RecordEntry.Completion.FAILED,
                    MINUTE,
                    Reason.Kind.REPEAT_UNSAFE);
        }
        assertEquals(2, reported.size(), "failures spread over three seconds are not an incident");
    }
}
