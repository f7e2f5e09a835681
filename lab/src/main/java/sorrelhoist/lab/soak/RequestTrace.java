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

    /** The number of that router's process, from 0: restarts count up. */
    final int routerIncarnation;

    final long budgetNanos;

    /** Whether it is the first request of its connection. */
    final boolean firstOnConnection;

    long sentAt = NEVER;

    /** When the client closed its connection before its answer was complete. */
    long abandonedAt = NEVER;

    long answeredAt = NEVER;
    int status;

    /** Whether the answer came to its proper end. */
    boolean complete;

    /** When the router closed the connection without a complete answer. */
    long closedAt = NEVER;

    long maxEventDelay;

    /** Whether the client reads slowly: its events may be late by its own doing. */
    boolean readSlowly;

    final List<AttemptTrace> attempts = new ArrayList<>();
    final List<StateTrace> states = new ArrayList<>();

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
        this.routerIncarnation = routerLife;
        this.budgetNanos = budgetNanos;
        this.firstOnConnection = fresh;
    }

    /**
     * Ends the holding of its states at all workers.
     *
     * @param now the time, nanoseconds
     * @return whether any state was held
     */
    boolean releaseStates(long now) {
        List<StateTrace> held = states.stream().filter(StateTrace::isHeld).toList();
        held.forEach(state -> state.release(now));
        return !held.isEmpty();
    }

    /**
     * A call to release what is held for the request: it lets go of nothing that a decode waits
     * for.
     *
     * @param now the time, nanoseconds
     */
    void releaseUnlessAwaited(long now) {
        if (attempts.stream().noneMatch(AttemptTrace::isWaitingForState)) {
            releaseStates(now);
        }
    }

    /** One attempt as its worker saw it. */
    static final class AttemptTrace {
        final WorkerEntry.Role role;
        final String worker;
        final long firstByteAt;

        /** When its last byte had come to the worker's machine, whether or not the worker ran. */
        long lastByteAt = NEVER;

        /** How long its link delayed its bytes, nanoseconds. */
        long linkDelay;

        /** When the worker took it. */
        long arrivedAt = NEVER;

        long budgetMillis = -1;

        /** Whether the worker rejected it: it has not run. */
        boolean rejected;

        /** When the worker's answer ended, or the connection did. */
        long endedAt = NEVER;

        /**
         * When a decode stopped waiting for the state that it was to fetch: it fetched it, was
         * rejected, or its worker noticed that nobody waits for it.
         */
        long waitEndedAt = NEVER;

        /** When the worker dropped it without a word: it is over, and its connection is open. */
        long droppedAt = NEVER;

        /** Whether the worker wrote its stream to the last chunk. */
        boolean streamFinished;

        AttemptTrace(WorkerEntry.Role role, String worker, long firstByteAt) {
            this.role = role;
            this.worker = worker;
            this.firstByteAt = firstByteAt;
        }

        /** {@return when its router sent its first byte, unless a silent link held it back} */
        long firstByteSentAt() {
            return firstByteAt - linkDelay;
        }

        /** {@return when its router sent its last byte, unless a silent link held it back} */
        long lastByteSentAt() {
            return lastByteAt - linkDelay;
        }

        /** {@return whether it stands in its worker's queue, before the state is fetched} */
        boolean isWaitingForState() {
            return role == WorkerEntry.Role.WRITE && arrivedAt != NEVER && waitEndedAt == NEVER;
        }

        /** {@return until when what is held for its request may have been for it} */
        long outUntil() {
            long overAt = Math.min(endedAt, droppedAt);
            return role == WorkerEntry.Role.WRITE ? Math.max(overAt, waitEndedAt) : overAt;
        }

        boolean mayHaveRun() {
            return arrivedAt != NEVER && !rejected;
        }
    }

    /** A prefill state at a worker. */
    static final class StateTrace {
        final String worker;
        final long heldAt;
        long releasedAt = NEVER;

        /** Frees the memory that it takes. */
        Runnable whenReleased = () -> {};

        StateTrace(String worker, long heldAt) {
            this.worker = worker;
            this.heldAt = heldAt;
        }

        boolean isHeld() {
            return releasedAt == NEVER;
        }

        private void release(long at) {
            releasedAt = at;
            whenReleased.run();
        }
    }
}
