package sorrelhoist.core.record;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import sorrelhoist.Decide;
import sorrelhoist.Routing;
import sorrelhoist.Routing.Action;

/**
 * Plays a tape's events into a new {@link Decide} and compares all that it says with what the tape
 * holds.
 */
public final class Replay {
    /**
     * The first difference.
     *
     * @param line where
     * @param place of the action that differs, from 0
     * @param recorded what the tape holds; null for nothing more
     * @param replayed what was said now; null for nothing more
     */
    public record Difference(Tape.Line line, int place, Action recorded, Action replayed) {
        /** {@return it in plain words} */
        public String text() {
            Entry.Told t = (Entry.Told) line.entry();
            return "entry "
                    + line.number()
                    + ", at "
                    + t.at()
                    + " us, on "
                    + t.event()
                    + ": action "
                    + place
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
     * @param first difference, or null
     * @param fault what stopped it, or null
     */
    public record Result(long events, long actions, Difference first, String fault) {
        /** {@return whether every action was the same to the last byte} */
        public boolean same() {
            return first == null && fault == null;
        }
    }

    private Replay() {}

    /** {@return the result of playing a tape, with the settings and the seed that it holds} */
    public static Result of(Tape tape) {
        return of(tape, tape.head().settings(), true, (line, actions) -> {});
    }

    /** {@return the same events with what this build says to them} */
    public static Tape again(Tape tape) {
        Map<Long, List<Action>> said = new HashMap<>();
        of(
                tape,
                tape.head().settings(),
                false,
                (line, actions) -> said.put(line.number(), actions));
        return Tape.of(
                tape.head(),
                tape.lines().stream()
                        .map(
                                l ->
                                        l.entry() instanceof Entry.Told t
                                                ? new Entry.Told(
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
     * @throws Unreadable where they are none
     */
    public static byte[] again(byte[] file) throws Unreadable {
        return again(Tape.of(List.of(file))).file();
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
    public static Result of(
            Tape tape,
            Routing.Settings settings,
            boolean stops,
            BiConsumer<Tape.Line, List<Action>> heard) {
        Decide decide = new Decide(settings, tape.head().seed());
        long events = 0;
        long compared = 0;
        Difference first = null;
        for (Tape.Line line : tape.lines()) {
            try {
                if (line.entry() instanceof Entry.Taught t) {
                    decide.learn(t.at(), t.knowledge(), t.age());
                } else if (line.entry() instanceof Entry.Told t) {
                    List<Action> now = decide.on(t.at(), t.event());
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

    private static Difference difference(Tape.Line line, List<Action> was, List<Action> is) {
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
                        && Arrays.equals(Chunks.bytes((Record) a), Chunks.bytes((Record) b));
    }
}
