package sorrelhoist.core.record;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingPolicy;
import sorrelhoist.routing.RoutingSettings;

/**
 * Feeds a recording's events to a new {@link RoutingPolicy} and compares its actions with those
 * that were recorded.
 *
 * <p>The name of this class and {@link #again(byte[])} are a contract between builds: {@code record
 * diff --build} and {@code record cut --build} look them up in the jar of another build. Neither
 * may be renamed or moved.
 */
public final class Replay {
    /**
     * An action that differs.
     *
     * @param entry the decision it belongs to
     * @param actionIndex of the action within the decision, from 0
     * @param recorded the recorded action; null where there is none
     * @param replayed the action now; null where there is none
     */
    public record Difference(
            Recording.NumberedEntry entry, int actionIndex, Action recorded, Action replayed) {
        /** {@return it in plain words} */
        public String describe() {
            RecordEntry.Decision decision = (RecordEntry.Decision) entry.entry();
            return "entry "
                    + entry.number()
                    + ", at "
                    + decision.at()
                    + " us, on "
                    + decision.event()
                    + ": action "
                    + actionIndex
                    + " was "
                    + (recorded == null ? "no more" : recorded)
                    + " and is now "
                    + (replayed == null ? "no more" : replayed);
        }
    }

    /**
     * How a replay went.
     *
     * @param events that were replayed
     * @param actions that were compared
     * @param firstDifference or null
     * @param fault what stopped the replay, or null
     */
    public record Result(long events, long actions, Difference firstDifference, String fault) {
        /** {@return whether every action was the same to the last byte} */
        public boolean isIdentical() {
            return firstDifference == null && fault == null;
        }
    }

    private final boolean stopsAtDifference;
    private final BiConsumer<Recording.NumberedEntry, List<Action>> listener;
    private long events;
    private long actions;
    private Difference firstDifference;

    private Replay(
            boolean stopsAtDifference, BiConsumer<Recording.NumberedEntry, List<Action>> listener) {
        this.stopsAtDifference = stopsAtDifference;
        this.listener = listener;
    }

    /** {@return the result of replaying a recording with its own settings and seed} */
    public static Result run(Recording recording) {
        return run(recording, recording.header().settings(), true, (entry, actions) -> {});
    }

    /**
     * Replays a recording.
     *
     * @param recording complete, or from a gap on as far as it goes
     * @param settings in place of the recording's own
     * @param stopsAtDifference whether it stops at the first difference
     * @param listener is notified of each decision and of the actions now
     * @return how it went
     */
    public static Result run(
            Recording recording,
            RoutingSettings settings,
            boolean stopsAtDifference,
            BiConsumer<Recording.NumberedEntry, List<Action>> listener) {
        RoutingPolicy policy = new RoutingPolicy(settings, recording.header().seed());
        return new Replay(stopsAtDifference, listener).run(recording.entries(), policy);
    }

    private Result run(List<Recording.NumberedEntry> entries, RoutingPolicy policy) {
        for (Recording.NumberedEntry numbered : entries) {
            try {
                replay(numbered, policy);
            } catch (RuntimeException e) {
                String fault = "entry " + numbered.number() + " cannot be played: " + e;
                return new Result(events, actions, firstDifference, fault);
            }
            if (firstDifference != null && stopsAtDifference) {
                break;
            }
        }
        return new Result(events, actions, firstDifference, null);
    }

    private void replay(Recording.NumberedEntry numbered, RoutingPolicy policy) {
        if (numbered.entry() instanceof RecordEntry.KnowledgeAdopted adopted) {
            policy.importKnowledge(adopted.at(), adopted.knowledge(), adopted.age());
        } else if (numbered.entry() instanceof RecordEntry.Decision decision) {
            List<Action> replayed = policy.onEvent(decision.at(), decision.event());
            events++;
            actions += decision.actions().size();
            listener.accept(numbered, replayed);
            if (firstDifference == null) {
                firstDifference = difference(numbered, decision.actions(), replayed);
            }
        }
    }

    private static Difference difference(
            Recording.NumberedEntry entry, List<Action> recorded, List<Action> replayed) {
        for (int i = 0; i < Math.max(recorded.size(), replayed.size()); i++) {
            Action before = i < recorded.size() ? recorded.get(i) : null;
            Action now = i < replayed.size() ? replayed.get(i) : null;
            if (before == null || now == null || !isSame(before, now)) {
                return new Difference(entry, i, before, now);
            }
        }
        return null;
    }

    /** Reasons' figures are recorded as whole microseconds, so what counts is the stored form. */
    private static boolean isSame(Action first, Action second) {
        if (first.equals(second)) {
            return true;
        }
        return first.getClass() == second.getClass()
                && Arrays.equals(
                        ChunkWriter.encode((Record) first), ChunkWriter.encode((Record) second));
    }

    /** {@return the same recording with the actions of this build in place of its own} */
    public static Recording withReplayedActions(Recording recording) {
        Map<Long, List<Action>> replayed = new HashMap<>();
        run(
                recording,
                recording.header().settings(),
                false,
                (entry, actions) -> replayed.put(entry.number(), actions));
        List<RecordEntry> entries =
                recording.entries().stream()
                        .map(
                                numbered ->
                                        withActions(
                                                numbered.entry(),
                                                replayed.getOrDefault(
                                                        numbered.number(), List.of())))
                        .toList();
        return Recording.of(recording.header(), entries);
    }

    private static RecordEntry withActions(RecordEntry entry, List<Action> actions) {
        return entry instanceof RecordEntry.Decision decision
                ? new RecordEntry.Decision(decision.at(), decision.event(), actions)
                : entry;
    }

    /**
     * Does the same as {@link #withReplayedActions} for another build of this program, which has
     * only bytes in common with this one.
     *
     * @param file a segment file
     * @return a segment file with the actions of this build
     * @throws CorruptRecordException where the bytes are no segment file
     */
    public static byte[] again(byte[] file) throws CorruptRecordException {
        return withReplayedActions(Recording.of(List.of(file))).toFileBytes();
    }
}
