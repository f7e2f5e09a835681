package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import sorrelhoist.routing.Routing.*;

/**
 * Shrinks a tape to few events that still show something. What is dropped is dropped by whole
 * requests, then by single events; timers that nobody asked for any more go with them. The
 * condition is asked of a replay, so what is left shows the same under the build that cut it.
 */
public final class RecordingMinimizer {
    private final RecordEntry.Header head;
    private final Predicate<Recording> shows;
    private final int budget;
    private int replayCount;

    /**
     * Makes one.
     *
     * @param head of the tape
     * @param shows whether a shorter tape still shows it
     * @param budget replays at most
     */
    public RecordingMinimizer(RecordEntry.Header head, Predicate<Recording> shows, int budget) {
        this.head = head;
        this.shows = shows;
        this.budget = budget;
    }

    /** {@return replays that were made} */
    public int replayCount() {
        return replayCount;
    }

    /** {@return the shortest tape found; the actions on it are those of this build} */
    public Recording minimize(Recording tape) {
        Map<Long, List<Recording.NumberedEntry>> byRequest = new LinkedHashMap<>();
        long own = 0;
        for (Recording.NumberedEntry l : tape.entries()) {
            if (l.entry() instanceof RecordEntry.Decision
                    || l.entry() instanceof RecordEntry.KnowledgeAdopted) {
                long id = l.entry() instanceof RecordEntry.Decision t ? request(t.event()) : -1;
                byRequest.computeIfAbsent(id >= 0 ? id : --own, k -> new ArrayList<>()).add(l);
            }
        }
        List<List<Recording.NumberedEntry>> groups = minimal(new ArrayList<>(byRequest.values()));
        List<List<Recording.NumberedEntry>> single = new ArrayList<>();
        groups.forEach(g -> g.forEach(l -> single.add(List.of(l))));
        return replayed(minimal(single));
    }

    /** Ticks have numbers beyond any request's: each stands for itself. */
    private static long request(Event event) {
        return event instanceof TimerFired t && t.token() >= 1L << 60
                ? -1
                : RequestTimeline.request(event);
    }

    /**
     * Zeller's delta debugging, complements only: drops ever smaller parts as long as what is left
     * shows it.
     */
    private List<List<Recording.NumberedEntry>> minimal(List<List<Recording.NumberedEntry>> from) {
        List<List<Recording.NumberedEntry>> best = from;
        int parts = 2;
        while (best.size() >= 2 && replayCount < budget) {
            int size = (best.size() + parts - 1) / parts;
            boolean shorter = false;
            for (int at = 0; at < best.size() && replayCount < budget; at += size) {
                List<List<Recording.NumberedEntry>> rest = new ArrayList<>(best.subList(0, at));
                rest.addAll(best.subList(Math.min(best.size(), at + size), best.size()));
                replayCount++;
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
    private Recording replayed(List<List<Recording.NumberedEntry>> groups) {
        List<Recording.NumberedEntry> lines = new ArrayList<>();
        groups.forEach(lines::addAll);
        lines.sort(java.util.Comparator.comparingLong(Recording.NumberedEntry::number));
        return Replay.again(
                Recording.of(head, lines.stream().map(Recording.NumberedEntry::entry).toList()));
    }
}
