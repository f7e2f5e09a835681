package sorrelhoist.lab.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the harness did to processes and when, as far as the oracle has to know it. Times are
 * monotonic nanoseconds.
 */
final class FleetTimeline {
    final long startedAt = System.nanoTime();
    private final Map<String, List<Told>> told = new HashMap<>();
    private final List<Span> harnessLate = new ArrayList<>();
    private final List<Span> crowded = new ArrayList<>();
    private final Map<String, List<Span>> cutLinks = new HashMap<>();
    private long lastObservedAt = RequestTrace.NEVER;
    final List<RouterLife> lives = new ArrayList<>();
    final List<WorkerStart> starts = new ArrayList<>();

    /** From one moment to another. */
    record Span(long from, long to) {
        boolean touches(long first, long last) {
            return first <= to && last >= from;
        }
    }

    /** A router was told that a worker takes nothing new, or that it does again. */
    record Told(int router, int life, long at, boolean takes) {}

    /** A worker's process began, and which routers had been told of it by when. */
    static final class WorkerStart {
        final String worker;
        final long at;
        final Map<Integer, Long> toldAt = new HashMap<>();

        WorkerStart(String worker, long at) {
            this.worker = worker;
            this.at = at;
        }
    }

    /** One process of a router, from its start to its end. */
    static final class RouterLife {
        final int router;
        final int life;
        final long startedAt;
        long readyAt = RequestTrace.NEVER;
        long termAt = RequestTrace.NEVER;
        long killedAt = RequestTrace.NEVER;
        long endedAt = RequestTrace.NEVER;
        int exitStatus;

        RouterLife(int router, int life, long startedAt) {
            this.router = router;
            this.life = life;
            this.startedAt = startedAt;
        }
    }

    RouterLife life(int router, int life) {
        return lives.stream()
                .filter(l -> l.router == router && l.life == life)
                .findFirst()
                .orElseThrow();
    }

    void told(String worker, int router, int life, long at, boolean takes) {
        told.computeIfAbsent(worker, w -> new ArrayList<>()).add(new Told(router, life, at, takes));
    }

    /**
     * {@return since when that router knew that the worker takes nothing new, at that moment; NEVER
     * where it does not}
     */
    long refusedSince(String worker, int router, int life, long at) {
        long since = RequestTrace.NEVER;
        for (Told t : told.getOrDefault(worker, List.of())) {
            if (t.router() == router && t.life() == life && t.at() <= at) {
                since = t.takes() ? RequestTrace.NEVER : Math.min(since, t.at());
            }
        }
        return since;
    }

    void harnessLate(long from, long to) {
        harnessLate.add(new Span(from, to));
    }

    /**
     * {@return whether the harness itself was late around that time, so that its stamps prove
     * nothing}
     */
    boolean wasHarnessLate(long from, long to) {
        return harnessLate.stream().anyMatch(span -> span.touches(from, to));
    }

    int harnessLateSpans() {
        return harnessLate.size();
    }

    void crowded(long from, long to) {
        crowded.add(new Span(from, to));
    }

    /** Bytes between a router and a worker were lost, or came late. */
    void linkCut(int router, String worker, long from, long to) {
        cutLinks.computeIfAbsent(router + "/" + worker, l -> new ArrayList<>())
                .add(new Span(from, to));
    }

    boolean wasLinkCut(int router, String worker, long from, long to) {
        return cutLinks.getOrDefault(router + "/" + worker, List.of()).stream()
                .anyMatch(span -> span.touches(from, to));
    }

    boolean wasCrowded(long from, long to) {
        return crowded.stream().anyMatch(span -> span.touches(from, to));
    }

    /** Nothing is known of what happened after this. */
    void observedUntil(long at) {
        lastObservedAt = at;
    }

    long lastObservedAt() {
        return lastObservedAt;
    }

    double seconds(long at) {
        return (at - startedAt) / 1e9;
    }
}
