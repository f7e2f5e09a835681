package sorrelhoist.core.record;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.Routing.*;

/**
 * Says when a rule came close to breaking, or service fell, so that the record around it is kept:
 * an answer at the last moment, a state held almost too long, or many answers lost in a short time.
 * It looks at what a tap hears, decides nothing of a request, and is quiet for a while after each
 * word.
 */
public final class AnomalyTrigger implements DecisionListener {
    /** When to speak. */
    public interface AnomalyListener {
        /** A rule is in danger, or service fell. */
        void onAnomaly(long at, String what);
    }

    private static final long LAST_MOMENT =
            20_000; // of a client's time: less was left when its answer came
    private static final double NEARLY = 0.9; // of the release limit
    private static final long WINDOW = 1_000_000;
    private static final int MANY = 50; // failures, not refusals, in a window
    private static final long QUIET = 60_000_000; // after each word: one record an incident
    private final DecisionListener next;
    private final long releaseMicros;
    private final AnomalyListener alarm;
    private final Map<Long, Long> readAt = new HashMap<>();
    private final ArrayDeque<Long> failed = new ArrayDeque<>();
    private long quietUntil = Long.MIN_VALUE;

    /**
     * Makes one.
     *
     * @param next hears everything too, before this looks at it
     * @param releaseMicros a held state is taken or let go within this time
     * @param alarm told of danger
     */
    public AnomalyTrigger(DecisionListener next, long releaseMicros, AnomalyListener alarm) {
        this.next = next;
        this.releaseMicros = releaseMicros;
        this.alarm = alarm;
    }

    @Override
    public void onDecision(long at, Event event, List<Action> actions) {
        next.onDecision(at, event, actions);
        if (event instanceof AttemptEnded e && e.outcome() == Outcome.READ) {
            readAt.put(e.id(), at);
        }
        for (Action a : actions) {
            if (a instanceof Send s && readAt.containsKey(s.id())) {
                taken(at, s.id());
            } else if (a instanceof Release r) {
                taken(at, r.id());
            }
        }
        if (event instanceof AttemptEnded e && e.ended()) {
            readAt.remove(e.id());
        }
    }

    private void taken(long at, long id) {
        Long since = readAt.remove(id);
        if (since != null && at - since > NEARLY * releaseMicros) {
            raise(
                    at,
                    "rule five: a state was held for "
                            + (at - since) / 1000
                            + " ms of "
                            + releaseMicros / 1000);
        }
    }

    @Override
    public void onKnowledgeAdopted(long at, long age, sorrelhoist.routing.Knowledge knowledge) {
        next.onKnowledgeAdopted(at, age, knowledge);
    }

    @Override
    public void onRequestSubmitted(RecordEntry.RequestSubmitted asked, String prompt) {
        next.onRequestSubmitted(asked, prompt);
    }

    @Override
    public void onRequestCompleted(RecordEntry.RequestCompleted a) {
        next.onRequestCompleted(a);
        boolean owed =
                a.how() != RecordEntry.Completion.LEFT && a.how() != RecordEntry.Completion.STALLED;
        if (owed && a.leftMicros() < LAST_MOMENT && a.how() != RecordEntry.Completion.SERVED) {
            raise(
                    a.at(),
                    "rule one: an answer came "
                            + a.leftMicros() / 1000
                            + " ms before its client's time was up");
        }
        if (a.how() == RecordEntry.Completion.FAILED && a.why().kind() != Reason.Kind.DEADLINE) {
            failed.add(a.at());
            while (failed.peek() < a.at() - WINDOW) {
                failed.poll();
            }
            if (failed.size() >= MANY) {
                raise(a.at(), failed.size() + " requests failed within a second");
            }
        }
    }

    private void raise(long at, String what) {
        if (at >= quietUntil) {
            quietUntil = at + QUIET;
            alarm.onAnomaly(at, what);
        }
    }
}
