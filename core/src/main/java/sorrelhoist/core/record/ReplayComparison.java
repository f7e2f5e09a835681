package sorrelhoist.core.record;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingSettings;

/**
 * Compares what was decided in a recording with what another build, or other settings, would have
 * decided at the same places. Outcomes stay those of the recording, so a request is compared up to
 * its first decision that differs and no further; what another engine would have meant for it is
 * estimated by what the recording shows of that engine at that time.
 */
public final class ReplayComparison {
    /**
     * What changed.
     *
     * @param requests that arrived
     * @param unchanged requests with equal decisions to their ends
     * @param newlyRejected requests that were sent before and are refused or failed now, by reason
     * @param newlyForwarded requests that were refused or failed before and are sent now, by the
     *     reason before
     * @param rerouted requests that are sent to another engine
     * @param weightNewlyRejected sum of their priority weights
     * @param weightNewlyForwarded sum of their priority weights
     * @param savedPrefillMicros the prefill times at the engines before less those at the engines
     *     now, as recorded, summed over rerouted requests with known times at both
     * @param reroutedWithTimes how many requests those are
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

    /** Weight of the newest prefill time in an engine's moving average. */
    private static final double SMOOTHING = 0.3;

    private final RoutingSettings recordedSettings;
    private final Map<Long, Arrived> openRequests = new HashMap<>();
    private final Map<String, Double> prefillMicros = new HashMap<>();
    private final Map<Reason.Kind, Integer> newlyRejected = new EnumMap<>(Reason.Kind.class);
    private final Map<Reason.Kind, Integer> newlyForwarded = new EnumMap<>(Reason.Kind.class);
    private int requests;
    private int changed;
    private int rerouted;
    private int reroutedWithTimes;
    private double weightNewlyRejected;
    private double weightNewlyForwarded;
    private double savedPrefillMicros;

    private ReplayComparison(RoutingSettings recordedSettings) {
        this.recordedSettings = recordedSettings;
    }

    /**
     * Compares a recording with its replay.
     *
     * @param recording what was decided
     * @param settings of the replay; with the recording's own, builds are compared
     * @return what changed
     */
    public static Report compare(Recording recording, RoutingSettings settings) {
        ReplayComparison comparison = new ReplayComparison(recording.header().settings());
        Replay.run(recording, settings, false, comparison::replayed);
        return comparison.report();
    }

    private Report report() {
        return new Report(
                requests,
                requests - changed,
                newlyRejected,
                newlyForwarded,
                rerouted,
                weightNewlyRejected,
                weightNewlyForwarded,
                savedPrefillMicros,
                reroutedWithTimes);
    }

    private void replayed(Recording.NumberedEntry numbered, List<Action> actionsNow) {
        RecordEntry.Decision decision = (RecordEntry.Decision) numbered.entry();
        if (decision.event() instanceof Arrived arrived) {
            requests++;
            openRequests.put(arrived.id(), arrived);
        } else if (decision.event() instanceof AttemptEnded ended
                && ended.outcome() == Outcome.READ) {
            prefillMicros.merge(
                    ended.server(),
                    (double) ended.tookMicros(),
                    (average, newest) -> average + SMOOTHING * (newest - average));
        }
        compareActions(decision.actions(), actionsNow);
        if (decision.event() instanceof AttemptEnded ended && ended.ended()) {
            openRequests.remove(ended.id());
        }
    }

    private void compareActions(List<Action> actionsBefore, List<Action> actionsNow) {
        Map<Long, Action> before = decisiveActions(actionsBefore);
        Map<Long, Action> now = decisiveActions(actionsNow);
        before.forEach((requestId, action) -> compare(requestId, action, now.get(requestId)));
        now.forEach(
                (requestId, action) -> {
                    if (!before.containsKey(requestId)) {
                        compare(requestId, null, action);
                    }
                });
    }

    /** {@return for each request the last action that sends or ends it, in their order} */
    private static Map<Long, Action> decisiveActions(List<Action> actions) {
        Map<Long, Action> decisive = new LinkedHashMap<>();
        for (Action action : actions) {
            if (action instanceof Send || action instanceof Refuse || action instanceof Fail) {
                decisive.put(RequestIds.of(action), action);
            }
        }
        return decisive;
    }

    private void compare(long requestId, Action before, Action now) {
        Arrived arrived = openRequests.get(requestId);
        if (arrived == null) {
            return;
        }
        Send sentBefore = before instanceof Send send ? send : null;
        Send sentNow = now instanceof Send send ? send : null;
        boolean endedBefore = before != null && sentBefore == null;
        boolean endedNow = now != null && sentNow == null;
        if (endedBefore && endedNow) {
            openRequests.remove(requestId);
            return;
        }
        if (sentBefore != null && sentNow != null && sentBefore.server().equals(sentNow.server())) {
            return;
        }
        changed++;
        openRequests.remove(requestId);
        double weight = recordedSettings.classes().get(arrived.cls()).priorityWeight();
        if (sentBefore != null && sentNow != null) {
            reroute(sentBefore.server(), sentNow.server());
        } else if (sentNow != null) {
            newlyForwarded.merge(reasonOf(before), 1, Integer::sum);
            weightNewlyForwarded += weight;
        } else {
            newlyRejected.merge(reasonOf(now), 1, Integer::sum);
            weightNewlyRejected += weight;
        }
    }

    private void reroute(String serverBefore, String serverNow) {
        rerouted++;
        Double before = prefillMicros.get(serverBefore);
        Double now = prefillMicros.get(serverNow);
        if (before != null && now != null) {
            reroutedWithTimes++;
            savedPrefillMicros += before - now;
        }
    }

    private static Reason.Kind reasonOf(Action action) {
        if (action instanceof Refuse refuse) {
            return refuse.why().kind();
        }
        return action instanceof Fail fail ? fail.why().kind() : Reason.Kind.UNKNOWN;
    }
}
