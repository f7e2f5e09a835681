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
 * Compares the decisions of a recording with those that another build, or other settings, would
 * have made on the same events. The outcomes of attempts stay those of the recording, so each
 * request is compared only up to its first decision that differs. The effect of selecting another
 * engine is estimated from what the recording shows of that engine at that time.
 */
public final class ReplayComparison {
    /**
     * The result of a comparison.
     *
     * @param requests number of requests that arrived
     * @param unchanged number of requests that are sent to the same engines, or refused or failed,
     *     on the same events; reasons are not compared
     * @param newlyRejected number of requests that are not sent now at the first difference, by the
     *     reason of the refusal or failure now, or by {@link Reason.Kind#UNKNOWN} if there is none
     * @param newlyForwarded number of requests that are sent now and were not sent before at the
     *     first difference, by the reason before, or by {@link Reason.Kind#UNKNOWN} if there was
     *     none
     * @param rerouted number of requests that are sent to another engine at the first difference
     * @param weightNewlyRejected sum of the priority weights of newly rejected requests
     * @param weightNewlyForwarded sum of the priority weights of newly forwarded requests
     * @param savedPrefillMicros estimated prefill time that rerouting saves, in microseconds: the
     *     moving average of recorded times at the engine before minus that at the engine now,
     *     summed over rerouted requests for which both averages are known
     * @param reroutedWithTimes number of rerouted requests for which both averages are known
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
     * @param recording the recorded decisions
     * @param settings settings of the replay; to compare builds, those of the recording
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

    /** {@return by request the last action that sends, refuses or fails it, in order} */
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
