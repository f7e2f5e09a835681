package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import sorrelhoist.Routing.*;

/**
 * Shrinks a tape to few events that still show something. What is dropped is dropped by whole
 * requests, then by single events; timers that nobody asked for any more go with them. The
 * condition is asked of a replay, so what is left shows the same under the build that cut it.
 */
public final class Cut {
    private final Entry.Started head;
    private final Predicate<Tape> shows;
    private final int budget;
    private int tried;

    /**
     * Makes one.
     *
     * @param head of the tape
     * @param shows whether a shorter tape still shows it
     * @param budget replays at most
     */
    public Cut(Entry.Started head, Predicate<Tape> shows, int budget) {
        this.head = head;
        this.shows = shows;
        this.budget = budget;
    }

    /** {@return replays that were made} */
    public int tried() {
        return tried;
    }

    /** {@return the shortest tape found; the actions on it are those of this build} */
    public Tape of(Tape tape) {
        Map<Long, List<Tape.Line>> byRequest = new LinkedHashMap<>();
        long own = 0;
        for (Tape.Line l : tape.lines()) {
            if (l.entry() instanceof Entry.Told || l.entry() instanceof Entry.Taught) {
                long id = l.entry() instanceof Entry.Told t ? request(t.event()) : -1;
                byRequest.computeIfAbsent(id >= 0 ? id : --own, k -> new ArrayList<>()).add(l);
            }
        }
        List<List<Tape.Line>> groups = minimal(new ArrayList<>(byRequest.values()));
        List<List<Tape.Line>> single = new ArrayList<>();
        groups.forEach(g -> g.forEach(l -> single.add(List.of(l))));
        return replayed(minimal(single));
    }

    /** Ticks have numbers beyond any request's: each stands for itself. */
    private static long request(Event event) {
        return event instanceof TimerFired t && t.token() >= 1L << 60 ? -1 : Story.request(event);
    }

    /**
     * Zeller's delta debugging, complements only: drops ever smaller parts as long as what is left
     * shows it.
     */
    private List<List<Tape.Line>> minimal(List<List<Tape.Line>> from) {
        List<List<Tape.Line>> best = from;
        int parts = 2;
        while (best.size() >= 2 && tried < budget) {
            int size = (best.size() + parts - 1) / parts;
            boolean shorter = false;
            for (int at = 0; at < best.size() && tried < budget; at += size) {
                List<List<Tape.Line>> rest = new ArrayList<>(best.subList(0, at));
                rest.addAll(best.subList(Math.min(best.size(), at + size), best.size()));
                tried++;
                if (shows.test(replayed(rest))) {
                    best = rest;
                    parts = Math.max(2, parts - 1);
                    shorter = true;
                    break;
                }
            }
            if (!shorter && size == 1) {
                break;
            } else if (!shorter) {
                parts = Math.min(best.size(), 2 * parts);
            }
        }
        return best;
    }

    /** The events that are left, in their order, with what this build says to them. */
    private Tape replayed(List<List<Tape.Line>> groups) {
        List<Tape.Line> lines = new ArrayList<>();
        groups.forEach(lines::addAll);
        lines.sort(java.util.Comparator.comparingLong(Tape.Line::number));
        return Replay.again(Tape.of(head, lines.stream().map(Tape.Line::entry).toList()));
    }
}
