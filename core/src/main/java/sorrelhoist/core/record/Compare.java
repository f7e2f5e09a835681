package sorrelhoist.core.record;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.Reason;
import sorrelhoist.Routing.*;

/**
 * What another build, or other settings, would have decided at each place of a tape. The world is
 * the tape's: outcomes come as they came, so from its first other decision on, a request is
 * compared no further, and what the other choice would have met is said as what the tape shows of
 * that engine at that time, where it shows anything.
 */
public final class Compare {
    /**
     * What changed.
     *
     * @param requests that arrived
     * @param same decided alike to their ends
     * @param nowRefused sent before, refused or failed now, by reason
     * @param nowSent refused or failed before, sent now, by the reason they had
     * @param elsewhere sent to another engine
     * @param worthNowRefused worth of those
     * @param worthNowSent worth of those
     * @param betterMicros over those sent elsewhere and known of both engines: time of reads that
     *     the tape shows at the engine chosen before less that at the one chosen now, in all
     * @param known of those sent elsewhere, how many the tape could tell that of
     */
    public record Report(
            int requests,
            int same,
            Map<Reason.Kind, Integer> nowRefused,
            Map<Reason.Kind, Integer> nowSent,
            int elsewhere,
            double worthNowRefused,
            double worthNowSent,
            double betterMicros,
            int known) {}

    private static final double RECENT = 0.3; // of the newest time at an engine

    private final Tape tape;
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

    private Compare(Tape tape) {
        this.tape = tape;
    }

    /** {@return what changes with other settings, or with the tape's own under this build} */
    public static Report of(Tape tape, Settings settings) {
        Compare c = new Compare(tape);
        Replay.of(tape, settings, false, c::heard);
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

    private void heard(Tape.Line line, List<Action> now) {
        Entry.Told t = (Entry.Told) line.entry();
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
                all.put(Story.request(a), a);
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
        double worth = tape.head().settings().classes().get(a.cls()).worth();
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
