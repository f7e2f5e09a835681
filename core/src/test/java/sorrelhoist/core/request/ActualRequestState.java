package sorrelhoist.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The actual state of one request at the workers of a {@link FaultyFleet}, independent of the
 * router's view of it. Times are in microseconds.
 */
final class ActualRequestState {
    private static final double MICROS_PER_MILLI = 1000;

    /** Bytes received within this time after a write are not considered a response to it. */
    private static final long MIN_ROUND_TRIP_MICROS = 2000;

    private static final long LONGEST_ROUND_TRIP_MICROS = 20_000;

    /** How an attempt ended at its worker. */
    enum WorkerEnd {
        /** The attempt has not ended. */
        NONE,
        ANSWERED,
        /** The worker dropped the attempt without a response, because little time was left. */
        DROPPED,
        /**
         * The worker stopped the attempt after noticing that its connection had ended, or fetched
         * the state for it after the router had ended it.
         */
        UNWANTED
    }

    /** One attempt, as seen by its worker and by its router. */
    final class SentAttempt {
        final int number;
        final String worker;
        final boolean prefill;
        final long deadline;
        boolean written;
        boolean arrived;
        boolean endedAtRouter;
        WorkerEnd workerEnd = WorkerEnd.NONE;

        /** Whether the attempt is in its worker's queue, so that no release drops the state. */
        boolean waitsForState;

        /** Whether the router has received any part of the attempt's own answer. */
        boolean answered;

        /** Whether the attempt arrived at its worker after the router had ended it. */
        boolean arrivedTooLate;

        /** Whether the attempt ended at its worker after the router had ended it. */
        boolean endedTooLate;

        /** How the attempt ended at the router. */
        String routerEnd = "";

        /** The connection that the attempt was written to. */
        FaultyNetwork.Connection connection;

        private long writtenAt;

        /**
         * The first bytes on another connection that could be taken as evidence that the attempt
         * was delivered.
         */
        private String evidence = "";

        private SentAttempt(int number, String worker, boolean prefill, long deadline) {
            this.number = number;
            this.worker = worker;
            this.prefill = prefill;
            this.deadline = deadline;
        }

        /**
         * Returns whether the attempt is running at its worker, which suspends the time limit of
         * the state. A prefill whose answer is never received has an outcome only when the router
         * stops waiting for it, as with the protocol's 'nothing: timed out'. This matters for
         * prefills only, because a decode that answers has fetched the state.
         */
        boolean isRunning() {
            boolean unanswered = workerEnd == WorkerEnd.NONE;
            boolean answerHasNotCome = prefill && workerEnd == WorkerEnd.ANSWERED;
            return arrived && !endedAtRouter && (unanswered || answerHasNotCome);
        }

        void written(long now, FaultyNetwork.Connection carrier) {
            written = true;
            writtenAt = now;
            connection = carrier;
            addNote(now, this + " written on connection " + carrier.number);
        }

        void arrived(long now) {
            arrived = true;
            arrivedTooLate = endedAtRouter;
            waitsForState = !prefill;
            addNote(now, this + " arrived");
        }

        /** Called when the attempt ends at its worker. */
        void endedAtWorker(WorkerEnd end, long now) {
            restartClock(now);
            waitsForState = false;
            workerEnd = end;
            endedTooLate = endedAtRouter;
            addNote(now, this + " ended at its worker: " + end);
        }

        /** Called when the router has an outcome of the attempt or cancels it. */
        void endedAtRouter(String how, long now) {
            restartClock(now);
            endedAtRouter = true;
            routerEnd = how;
            addNote(now, this + " ended at the router: " + how);
        }

        private void restartClock(long now) {
            if (isRunning() || waitsForState) {
                idleSince = now;
            }
        }

        /**
         * Called when bytes of an answer to another call were received from the worker of the
         * attempt.
         */
        void otherBytesReceived(long now, long callWrittenAt) {
            boolean mayCount = written && !answered && now - writtenAt > MIN_ROUND_TRIP_MICROS;
            if (!mayCount || !evidence.isEmpty()) {
                return;
            }
            String later =
                    now - writtenAt > LONGEST_ROUND_TRIP_MICROS
                            ? " after more than a round trip"
                            : " within a round trip";
            evidence = callWrittenAt >= writtenAt ? "a later call answered" : "other bytes" + later;
            addNote(now, "bytes from " + worker + " after " + this + " was written: " + evidence);
        }

        /**
         * {@return what was received on other connections that could be taken as evidence of its
         * delivery}
         */
        String evidence() {
            return evidence.isEmpty() ? "no evidence" : evidence;
        }

        @Override
        public String toString() {
            return (prefill ? "prefill " : "decode ") + number + "@" + worker;
        }
    }

    final String name;
    final List<SentAttempt> attempts = new ArrayList<>();

    /** Whether the client received a complete stream. */
    boolean served;

    /**
     * Number of decodes that found no state to fetch; for each, the prompt is prefilled once more.
     */
    int decodesWithoutState;

    /** Number of releases that arrived at a worker that was not hanging. */
    int releases;

    private final List<Note> trace = new ArrayList<>();
    private boolean held;
    private SentAttempt producedBy;

    /**
     * Since when no attempt has been running or waiting for a state, or, if later, when a state was
     * produced.
     */
    private long idleSince;

    ActualRequestState(String name) {
        this.name = name;
    }

    SentAttempt sent(int number, String worker, boolean prefill, long deadline, long now) {
        SentAttempt attempt = new SentAttempt(number, worker, prefill, deadline);
        attempts.add(attempt);
        addNote(now, attempt + " sent");
        return attempt;
    }

    /** Called when a prefill completed and its state is held. */
    void held(SentAttempt prefill, long now) {
        held = true;
        producedBy = prefill;
        idleSince = now;
        addNote(now, prefill + " produces a state");
    }

    boolean isHeld() {
        return held;
    }

    /** {@return the prefill that produced the state} */
    SentAttempt producedBy() {
        return producedBy;
    }

    /**
     * Called when a decode has fetched the state; everything else that is held for the request is
     * dropped with it.
     */
    void stateFetched(long now) {
        held = false;
        addNote(now, "the state is fetched");
    }

    /**
     * Called when a release arrives at a worker that is not hanging. It does not release a state
     * that a decode is waiting for.
     */
    void releaseArrived(String worker, long now) {
        boolean awaited = attempts.stream().anyMatch(attempt -> attempt.waitsForState);
        addNote(now, "a release arrives at " + worker + describeEffect(awaited));
        held &= awaited;
        releases++;
    }

    private String describeEffect(boolean awaited) {
        if (!held) {
            return ", nothing is held";
        }
        return awaited ? ", a decode is waiting for the state" : " and releases the state";
    }

    /**
     * {@return how long a state has been held without a running or waiting attempt; 0 if none is
     * held}
     */
    long unusedMicros(long now) {
        boolean inUse =
                attempts.stream().anyMatch(attempt -> attempt.isRunning() || attempt.waitsForState);
        return held && !inUse ? now - idleSince : 0;
    }

    /** {@return the attempt whose outcome the router is waiting for, or null} */
    SentAttempt runningAtRouter() {
        return attempts.stream().filter(attempt -> !attempt.endedAtRouter).findFirst().orElse(null);
    }

    private record Note(long at, String text) {
        @Override
        public String toString() {
            return String.format("%9.1f ms  %s", at / MICROS_PER_MILLI, text);
        }
    }

    void addNote(long now, String text) {
        trace.add(new Note(now, text));
    }

    /** {@return the trace of the request, one line per event} */
    String trace() {
        return trace.stream().map(Note::toString).collect(Collectors.joining("\n"));
    }
}
