package sorrelhoist.core.record;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.Routing.*;

/**
 * What another build, or other settings, would have decided at each place of a tape. The world is
 * the tape's: outcomes come as they came, so from its first other decision on, a request is
 * compared no further, and what the other choice would have met is said as what the tape shows of
 * that engine at that time, where it shows anything.
 */
public final class ReplayComparison {
    /**
     * What changed.
     *
     * @param requests that arrived
     * @param unchanged decided alike to their ends
     * @param newlyRejected sent before, refused or failed now, by reason
     * @param newlyForwarded refused or failed before, sent now, by the reason they had
     * @param rerouted sent to another engine
     * @param weightNewlyRejected worth of those
     * @param weightNewlyForwarded worth of those
     * @param savedPrefillMicros over those sent elsewhere and known of both engines: time of reads
     *     that the tape shows at the engine chosen before less that at the one chosen now, in all
     * @param reroutedWithTimes of those sent elsewhere, how many the tape could tell that of
     */
    public record Report(
            int requests,
            int unchanged,
            Map<Reason.Kind, Integer> newlyRejected,
            Map<Reason.Kind, Integer> newlyForwarded,
            int rerouted,
            double weightNewlyRejected,
            double weightNewlyForwarded,
            double savedPrefillMicros,
            int reroutedWithTimes) {}

    private static final double RECENT = 0.3; // of the newest time at an engine

    private final Recording tape;
    private final Map<Long, Arrived> open = new LinkedHashMap<>();
    private final Map<String, Double> timeAt = new LinkedHashMap<>();
    private final Map<Reason.Kind, Integer> nowRefused = new EnumMap<>(Reason.Kind.class);
    private final Map<Reason.Kind, Integer> nowSent = new EnumMap<>(Reason.Kind.class);
    private int requests;
    private int changed;
    private int elsewhere;
    private int known;
    private double worthRefused;
    private double worthSent;
    private double better;

    private ReplayComparison(Recording tape) {
        this.tape = tape;
    }

    /** {@return what changes with other settings, or with the tape's own under this build} */
    public static Report compare(Recording tape, RoutingSettings settings) {
        ReplayComparison c = new ReplayComparison(tape);
        Replay.run(tape, settings, false, c::heard);
        return new Report(
                c.requests,
                c.requests - c.changed,
                c.nowRefused,
                c.nowSent,
                c.elsewhere,
                c.worthRefused,
                c.worthSent,
                c.better,
                c.known);
    }

    private void heard(Recording.NumberedEntry line, List<Action> now) {
        RecordEntry.Decision t = (RecordEntry.Decision) line.entry();
        if (t.event() instanceof Arrived a) {
            requests++;
            open.put(a.id(), a);
        } else if (t.event() instanceof AttemptEnded e && e.outcome() == Outcome.READ) {
            timeAt.merge(
                    e.server(),
                    (double) e.tookMicros(),
                    (old, took) -> old + RECENT * (took - old));
        }
        // What is decided of each request here, before and now.
        Map<Long, Action> was = finals(t.actions());
        Map<Long, Action> is = finals(now);
        was.forEach((id, a) -> decided(id, a, is.get(id)));
        is.forEach(
                (id, a) -> {
                    if (!was.containsKey(id)) {
                        decided(id, null, a);
                    }
                });
        if (t.event() instanceof AttemptEnded e && e.ended()) {
            open.remove(e.id());
        }
    }

    private static Map<Long, Action> finals(List<Action> actions) {
        Map<Long, Action> all = new LinkedHashMap<>();
        for (Action a : actions) {
            if (a instanceof Send || a instanceof Refuse || a instanceof Fail) {
                all.put(RequestTimeline.request(a), a);
            }
        }
        return all;
    }

    private void decided(long id, Action was, Action is) {
        Arrived a = open.get(id);
        if (a == null) {
            return;
        }
        boolean wasSent = was instanceof Send;
        boolean isSent = is instanceof Send;
        double worth = tape.header().settings().classes().get(a.cls()).priorityWeight();
        if (was != null && is != null && !wasSent && !isSent) {
            open.remove(id);
            return;
        }
        if (wasSent && isSent && ((Send) was).server().equals(((Send) is).server())) {
            return;
        }
        changed++;
        open.remove(id);
        if (wasSent && isSent) {
            elsewhere++;
            Double before = timeAt.get(((Send) was).server());
            Double after = timeAt.get(((Send) is).server());
            if (before != null && after != null) {
                known++;
                better += before - after;
            }
        } else if (isSent) {
            nowSent.merge(why(was), 1, Integer::sum);
            worthSent += worth;
        } else {
            nowRefused.merge(why(is), 1, Integer::sum);
            worthRefused += worth;
        }
    }

    private static Reason.Kind why(Action a) {
        return a instanceof Refuse r
                ? r.why().kind()
                : a instanceof Fail f ? f.why().kind() : Reason.Kind.UNKNOWN;
    }
}
