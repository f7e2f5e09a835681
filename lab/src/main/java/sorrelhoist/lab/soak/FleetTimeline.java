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
    private final Map<String, List<Notification>> notifications = new HashMap<>();
    private final List<Span> harnessLags = new ArrayList<>();
    private final List<Span> connectionFloods = new ArrayList<>();
    private final Map<String, List<Span>> linkFaults = new HashMap<>();
    private long lastObservedAt = RequestTrace.NEVER;
    final List<RouterIncarnation> incarnations = new ArrayList<>();
    final List<WorkerStart> workerStarts = new ArrayList<>();

    /** A stretch of time, both ends included. */
    record Span(long from, long to) {
        boolean touches(long first, long last) {
            return first <= to && last >= from;
        }
    }

    /** A router was told that a worker accepts no new requests, or that it does again. */
    record Notification(int router, int incarnation, long at, boolean accepts) {}

    /** The start of a worker's process, and when each router was told of it, by router. */
    static final class WorkerStart {
        final String worker;
        final long startedAt;
        final Map<Integer, Long> notifiedAt = new HashMap<>();

        WorkerStart(String worker, long startedAt) {
            this.worker = worker;
            this.startedAt = startedAt;
        }
    }

    /** One process of a router, from its start to its end. */
    static final class RouterIncarnation {
        final int router;
        final int number;
        final long startedAt;
        long readyAt = RequestTrace.NEVER;
        long terminatedAt = RequestTrace.NEVER;
        long killedAt = RequestTrace.NEVER;
        long endedAt = RequestTrace.NEVER;
        int exitStatus;

        RouterIncarnation(int router, int number, long startedAt) {
            this.router = router;
            this.number = number;
            this.startedAt = startedAt;
        }
    }

    RouterIncarnation incarnation(int router, int incarnation) {
        return incarnations.stream()
                .filter(process -> process.router == router && process.number == incarnation)
                .findFirst()
                .orElseThrow();
    }

    void recordNotification(String worker, int router, int incarnation, long at, boolean accepts) {
        notifications
                .computeIfAbsent(worker, key -> new ArrayList<>())
                .add(new Notification(router, incarnation, at, accepts));
    }

    /**
     * {@return since when, as of that time, the router knew that the worker accepts no new
     * requests; NEVER if it did not know}
     */
    long notAcceptingSince(String worker, int router, int incarnation, long at) {
        long since = RequestTrace.NEVER;
        for (Notification told : notifications.getOrDefault(worker, List.of())) {
            if (told.router() == router && told.incarnation() == incarnation && told.at() <= at) {
                since = told.accepts() ? RequestTrace.NEVER : Math.min(since, told.at());
            }
        }
        return since;
    }

    void recordHarnessLag(long from, long to) {
        harnessLags.add(new Span(from, to));
    }

    /**
     * {@return whether the harness itself lagged around that time, so that its timestamps prove
     * nothing}
     */
    boolean wasHarnessLagging(long from, long to) {
        return harnessLags.stream().anyMatch(span -> span.touches(from, to));
    }

    void recordConnectionFlood(long from, long to) {
        connectionFloods.add(new Span(from, to));
    }

    /** Records that bytes between a router and a worker were lost, or came late. */
    void recordLinkFault(int router, String worker, long from, long to) {
        linkFaults
                .computeIfAbsent(router + "/" + worker, key -> new ArrayList<>())
                .add(new Span(from, to));
    }

    boolean wasLinkFaulty(int router, String worker, long from, long to) {
        return linkFaults.getOrDefault(router + "/" + worker, List.of()).stream()
                .anyMatch(span -> span.touches(from, to));
    }

    boolean wasFlooded(long from, long to) {
        return connectionFloods.stream().anyMatch(span -> span.touches(from, to));
    }

    /** Nothing is known of what happened after this. */
    void observedUntil(long at) {
        lastObservedAt = at;
    }

    long lastObservedAt() {
        return lastObservedAt;
    }

    double secondsSinceStart(long at) {
        return (at - startedAt) / 1e9;
    }
}
