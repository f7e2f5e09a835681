package sorrelhoist.core.record;

import sorrelhoist.routing.Routing;
import sorrelhoist.routing.Routing.Action;
import sorrelhoist.routing.RoutingPolicy;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Plays a tape's events into a new {@link RoutingPolicy} and compares all that it says with what
 * the tape holds.
 */
public final class Replay {
    /**
     * The first difference.
     *
     * @param entry where
     * @param actionIndex of the action that differs, from 0
     * @param recorded what the tape holds; null for nothing more
     * @param replayed what was said now; null for nothing more
     */
    public record Difference(
            Recording.NumberedEntry entry, int actionIndex, Action recorded, Action replayed) {
        /** {@return it in plain words} */
        public String describe() {
            RecordEntry.Decision t = (RecordEntry.Decision) entry.entry();
            return "entry "
                    + entry.number()
                    + ", at "
                    + t.at()
                    + " us, on "
                    + t.event()
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
     * @param events played
     * @param actions compared
     * @param firstDifference difference, or null
     * @param fault what stopped it, or null
     */
    public record Result(long events, long actions, Difference firstDifference, String fault) {
        /** {@return whether every action was the same to the last byte} */
        public boolean isIdentical() {
            return firstDifference == null && fault == null;
        }
    }

    private Replay() {}

    /** {@return the result of playing a tape, with the settings and the seed that it holds} */
    public static Result run(Recording tape) {
        return run(tape, tape.header().settings(), true, (line, actions) -> {});
    }

    /** {@return the same events with what this build says to them} */
    public static Recording again(Recording tape) {
        Map<Long, List<Action>> said = new HashMap<>();
        run(
                tape,
                tape.header().settings(),
                false,
                (line, actions) -> said.put(line.number(), actions));
        return Recording.of(
                tape.header(),
                tape.entries().stream()
                        .map(
                                l ->
                                        l.entry() instanceof RecordEntry.Decision t
                                                ? new RecordEntry.Decision(
                                                        t.at(),
                                                        t.event(),
                                                        said.getOrDefault(l.number(), List.of()))
                                                : l.entry())
                        .toList());
    }

    /**
     * The same for whoever holds another build of this program and has only bytes in common with
     * it.
     *
     * @param file a record's bytes
     * @return the record with what this build says
     * @throws CorruptRecordException where they are none
     */
    public static byte[] again(byte[] file) throws CorruptRecordException {
        return again(Recording.of(List.of(file))).toFileBytes();
    }

    /**
     * Plays a tape.
     *
     * @param tape whole, or from a gap on as far as it goes
     * @param settings in place of the tape's own
     * @param stops whether it stops at the first difference
     * @param heard told of each event and what was said to it now
     * @return how it went
     */
    public static Result run(
            Recording tape,
            Routing.RoutingSettings settings,
            boolean stops,
            BiConsumer<Recording.NumberedEntry, List<Action>> heard) {
        RoutingPolicy decide = new RoutingPolicy(settings, tape.header().seed());
        long events = 0;
        long compared = 0;
        Difference first = null;
        for (Recording.NumberedEntry line : tape.entries()) {
            try {
                if (line.entry() instanceof RecordEntry.KnowledgeAdopted t) {
                    decide.importKnowledge(t.at(), t.knowledge(), t.age());
                } else if (line.entry() instanceof RecordEntry.Decision t) {
                    List<Action> now = decide.onEvent(t.at(), t.event());
                    events++;
                    compared += t.actions().size();
                    heard.accept(line, now);
                    first = first == null ? difference(line, t.actions(), now) : first;
                    if (first != null && stops) {
                        return new Result(events, compared, first, null);
                    }
                }
            } catch (RuntimeException e) {
                return new Result(
                        events,
                        compared,
                        first,
                        "entry " + line.number() + " cannot be played: " + e);
            }
        }
        return new Result(events, compared, first, null);
    }

    private static Difference difference(
            Recording.NumberedEntry line, List<Action> was, List<Action> is) {
        for (int i = 0; i < Math.max(was.size(), is.size()); i++) {
            Action a = i < was.size() ? was.get(i) : null;
            Action b = i < is.size() ? is.get(i) : null;
            if (a == null || b == null || !same(a, b)) {
                return new Difference(line, i, a, b);
            }
        }
        return null;
    }

    /** Reasons' figures are kept to whole microseconds, so equality is that of the bytes. */
    static boolean same(Action a, Action b) {
        return a.equals(b)
                || a.getClass() == b.getClass()
                        && Arrays.equals(
                                ChunkWriter.encode((Record) a), ChunkWriter.encode((Record) b));
    }
}
