package sorrelhoist.lab.soak;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.lab.soak.FleetRules.RequestClass;

/**
 * What clients and workers saw of one request. Times are nanoseconds of the harness's monotonic
 * clock; {@link #NEVER} where something did not happen.
 */
final class RequestTrace {
    static final long NEVER = Long.MAX_VALUE;
    final String id;
    final RequestClass requestClass;
    final int router;

    /** Which life of that router: restarts count up. */
    final int routerLife;

    final long budgetNanos;

    /** Whether it is the first request of its connection. */
    final boolean fresh;

    long sentAt = NEVER;

    /** When the client closed its connection before its answer was whole. */
    long leftAt = NEVER;

    long answeredAt = NEVER;
    int status;

    /** Whether the answer came to its proper end. */
    boolean whole;

    /** When the router ended the connection without a whole answer. */
    long brokenAt = NEVER;

    long longestEventDelay;

    /** Whether the client reads slowly: its events may be late by its own doing. */
    boolean slowReader;

    final List<AttemptTrace> attempts = new ArrayList<>();
    final List<HoldTrace> holds = new ArrayList<>();

    RequestTrace(
            String id,
            RequestClass requestClass,
            int router,
            int routerLife,
            long budgetNanos,
            boolean fresh) {
        this.id = id;
        this.requestClass = requestClass;
        this.router = router;
        this.routerLife = routerLife;
        this.budgetNanos = budgetNanos;
        this.fresh = fresh;
    }

    /** Whether it got a final answer, or the end that a broken stream is owed. */
    boolean isConcluded() {
        return answeredAt != NEVER || status == 200 && brokenAt != NEVER;
    }

    /** One attempt as its worker saw it. */
    static final class AttemptTrace {
        final WorkerEntry.Role role;
        final String worker;
        final long firstByteAt;
        long arrivedAt = NEVER;
        long toldMillis = -1;

        /** Whether the worker turned it away: it has not run. */
        boolean rejected;

        /** When the worker's answer ended, or the connection did. */
        long endedAt = NEVER;

        /** Whether the worker wrote its stream to the last chunk. */
        boolean streamFinished;

        AttemptTrace(WorkerEntry.Role role, String worker, long firstByteAt) {
            this.role = role;
            this.worker = worker;
            this.firstByteAt = firstByteAt;
        }

        boolean mayHaveRun() {
            return arrivedAt != NEVER && !rejected;
        }
    }

    /** A read state at a worker. */
    static final class HoldTrace {
        final String worker;
        final long heldAt;
        long goneAt = NEVER;

        HoldTrace(String worker, long heldAt) {
            this.worker = worker;
            this.heldAt = heldAt;
        }
    }
}
