package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.StreamStarted;
import sorrelhoist.routing.RoutingEvents.TimerFired;

/**
 * An example of embedding the policy in a custom router, as described in the README: a loop that
 * passes events to the policy and performs its actions.
 */
class EmbeddingExampleTest {
    /** A scheduled event of the simulated network, which answers each send after a fixed time. */
    private record ScheduledEvent(long at, Event event) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return Long.compare(at, other.at);
        }
    }

    private final RoutingPolicy policy = new RoutingPolicy(Fixtures.defaultSettings(), 42);
    private final PriorityQueue<ScheduledEvent> pending = new PriorityQueue<>();
    private final List<String> path = new ArrayList<>();
    private int attempt;
    private long now;

    private void perform(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Send s) {
                boolean reader = s.server().startsWith("reader");
                path.add(s.server());
                Outcome outcome = reader ? Outcome.READ : Outcome.DONE;
                pending.add(
                        new ScheduledEvent(
                                now + 50_000,
                                new AttemptEnded(
                                        s.id(),
                                        attempt,
                                        s.server(),
                                        outcome,
                                        50_000,
                                        !reader,
                                        0,
                                        ServerLoad.NONE)));
                if (!reader) {
                    pending.add(
                            new ScheduledEvent(
                                    now + 20_000,
                                    new StreamStarted(s.id(), attempt, s.server(), 20_000)));
                }
                attempt++;
            } else if (action instanceof Timer t) {
                pending.add(new ScheduledEvent(now + t.delayMicros(), new TimerFired(t.token())));
            } else if (action instanceof Refuse || action instanceof Fail) {
                path.add("given up");
            }
        }
    }

    @Test
    void aRequestIsPrefilledAndDecodedAndNothingMoreIsDone() {
        perform(
                policy.onEvent(
                        now,
                        new Members(
                                ListUpdateKind.RESTORED,
                                List.of(
                                        Fixtures.prefillServer("reader-1", 0),
                                        Fixtures.decodeServer("writer-1", 0)))));
        perform(policy.onEvent(now, Fixtures.request(1, "session", "system-prompt", 1500, 1200)));
        while (now < 5_000_000) {
            ScheduledEvent due = pending.remove();
            now = due.at();
            perform(policy.onEvent(now, due.event()));
        }
        assertEquals(List.of("reader-1", "writer-1"), path);
    }
}
