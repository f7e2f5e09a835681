package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.TimerFired;

/**
 * Reduces a recording to a few events that still meet a condition, by delta debugging (Zeller and
 * Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002): whole requests are
 * removed first, then single events. The condition is tested on a replay, so the reduced recording
 * meets it under this build.
 */
public final class RecordingMinimizer {
    /**
     * Timer tokens from this value on belong to timers of the routing policy itself; lower ones are
     * request numbers.
     */
    private static final long FIRST_POLICY_TIMER_TOKEN = 1L << 60;

    private final RecordEntry.Header header;
    private final Predicate<Recording> condition;
    private final int maxReplays;
    private int replayCount;

    /**
     * Creates a minimizer.
     *
     * @param header header of the recording
     * @param condition condition that a reduced recording has to meet
     * @param maxReplays number of replays after which the shortest recording found so far is used
     */
    public RecordingMinimizer(
            RecordEntry.Header header, Predicate<Recording> condition, int maxReplays) {
        this.header = header;
        this.condition = condition;
        this.maxReplays = maxReplays;
    }

    /** {@return the number of replays on which the condition was tested so far} */
    public int replayCount() {
        return replayCount;
    }

    /** {@return the shortest recording that was found, with the actions of this build} */
    public Recording minimize(Recording recording) {
        List<List<Recording.NumberedEntry>> requests = removeParts(groupByRequest(recording));
        List<List<Recording.NumberedEntry>> singles = new ArrayList<>();
        requests.forEach(request -> request.forEach(entry -> singles.add(List.of(entry))));
        return replayed(removeParts(singles));
    }

    /**
     * Groups the replayable entries by request; an entry without a request forms a group of its
     * own.
     */
    private static List<List<Recording.NumberedEntry>> groupByRequest(Recording recording) {
        Map<Long, List<Recording.NumberedEntry>> groups = new LinkedHashMap<>();
        long ungrouped = 0;
        for (Recording.NumberedEntry numbered : recording.entries()) {
            long requestId = RequestIds.NONE;
            if (numbered.entry() instanceof RecordEntry.Decision decision) {
                requestId = requestOf(decision.event());
            } else if (!(numbered.entry() instanceof RecordEntry.KnowledgeAdopted)) {
                continue;
            }
            long group = requestId >= 0 ? requestId : --ungrouped;
            groups.computeIfAbsent(group, key -> new ArrayList<>()).add(numbered);
        }
        return new ArrayList<>(groups.values());
    }

    private static long requestOf(Event event) {
        return event instanceof TimerFired timer && timer.token() >= FIRST_POLICY_TIMER_TOKEN
                ? RequestIds.NONE
                : RequestIds.of(event);
    }

    /** Removes ever smaller parts as long as the remaining groups meet the condition. */
    private List<List<Recording.NumberedEntry>> removeParts(
            List<List<Recording.NumberedEntry>> from) {
        List<List<Recording.NumberedEntry>> best = from;
        int parts = 2;
        while (best.size() >= 2 && replayCount < maxReplays) {
            int partSize = (best.size() + parts - 1) / parts;
            List<List<Recording.NumberedEntry>> shorter = withoutOnePart(best, partSize);
            if (shorter != null) {
                best = shorter;
                parts = Math.max(2, parts - 1);
            } else if (partSize == 1) {
                break;
            } else {
                parts = Math.min(best.size(), 2 * parts);
            }
        }
        return best;
    }

    /**
     * {@return the groups without the first part that can be removed; null if no part was found, or
     * the number of replays is used up}
     */
    private List<List<Recording.NumberedEntry>> withoutOnePart(
            List<List<Recording.NumberedEntry>> groups, int partSize) {
        for (int at = 0; at < groups.size() && replayCount < maxReplays; at += partSize) {
            List<List<Recording.NumberedEntry>> rest = new ArrayList<>(groups.subList(0, at));
            int partEnd = Math.min(groups.size(), at + partSize);
            rest.addAll(groups.subList(partEnd, groups.size()));
            replayCount++;
            if (condition.test(replayed(rest))) {
                return rest;
            }
        }
        return null;
    }

    private Recording replayed(List<List<Recording.NumberedEntry>> groups) {
        List<RecordEntry> entries =
                groups.stream()
                        .flatMap(List::stream)
                        .sorted(Comparator.comparingLong(Recording.NumberedEntry::number))
                        .map(Recording.NumberedEntry::entry)
                        .toList();
        return Replay.withReplayedActions(Recording.of(header, entries));
    }
}
