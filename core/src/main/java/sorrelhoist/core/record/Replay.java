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
 * Feeds a recording's events to a new {@link RoutingPolicy} and compares its actions with the
 * recorded ones.
 *
 * <p>The name of this class and {@link #again(byte[])} are an interface between builds: {@code
 * record diff --build} and {@code record cut --build} look them up in the jar of another build.
 * Neither may be renamed or moved.
 */
public final class Replay {
    /**
     * An action that differs between the recording and its replay.
     *
     * @param entry the decision that the action belongs to
     * @param actionIndex index of the action within the decision, from 0
     * @param recorded the recorded action; null if the recording has fewer actions
     * @param replayed the replayed action; null if the replay has fewer actions
     */
    public record Difference(
            Recording.NumberedEntry entry, int actionIndex, Action recorded, Action replayed) {
        /** {@return a description of the difference, for operators} */
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
                    + (recorded == null ? "absent" : recorded)
                    + " and is now "
                    + (replayed == null ? "absent" : replayed);
        }
    }

    /**
     * The result of a replay.
     *
     * @param events number of recorded events that were replayed
     * @param actions number of recorded actions of these events
     * @param firstDifference the first difference, or null
     * @param fault the error that ended the replay, or null
     */
    public record Result(long events, long actions, Difference firstDifference, String fault) {
        /**
         * {@return whether the replay had no error and every action has the same stored form as
         * recorded}
         */
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

    /**
     * {@return the result of replaying a recording with its own settings and seed, up to the first
     * difference}
     */
    public static Result run(Recording recording) {
        return run(recording, recording.header().settings(), true, (entry, actions) -> {});
    }

    /**
     * Replays a recording.
     *
     * @param recording the recording; if it is incomplete, actions may differ after a gap, and an
     *     entry that cannot be replayed ends the replay
     * @param settings settings that replace those of the recording
     * @param stopsAtDifference whether to stop at the first difference
     * @param listener receives each decision with the replayed actions
     * @return the result of the replay
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
                String fault = "entry " + numbered.number() + " cannot be replayed: " + e;
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

    /**
     * Compares the stored forms of two actions, because figures of reasons are recorded as whole
     * numbers.
     */
    private static boolean isSame(Action first, Action second) {
        if (first.equals(second)) {
            return true;
        }
        return first.getClass() == second.getClass()
                && Arrays.equals(
                        ChunkWriter.encode((Record) first), ChunkWriter.encode((Record) second));
    }

    /** {@return the recording with the actions of this build in place of the recorded ones} */
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
     * Does the same as {@link #withReplayedActions} for another build of this program, whose types
     * differ from those of this build, so that only bytes can be exchanged.
     *
     * @param file content of a segment file
     * @return content of a segment file with the actions of this build
     * @throws CorruptRecordException if the file contains no valid chunk
     */
    public static byte[] again(byte[] file) throws CorruptRecordException {
        return withReplayedActions(Recording.of(List.of(file))).toFileBytes();
    }
}
