package sorrelhoist.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * What truly becomes of one request at the workers of a {@link FaultyFleet}, whatever its router
 * takes for true. Times are in microseconds.
 */
final class RequestTruth {
    private static final double MICROS_PER_MILLI = 1000;

    /** Bytes that come earlier after a write are not taken for a sign of it. */
    private static final long SURELY_EARLIER_MICROS = 2000;

    private static final long LONGEST_ROUND_TRIP_MICROS = 20_000;

    /** How an attempt ended at its worker. */
    enum WorkerEnd {
        /** It has not. */
        NONE,
        ANSWERED,
        /** Little time was left, and it said nothing. */
        DROPPED,
        /** It took the attempt out of its queue, or fetched the state, for nobody. */
        UNWANTED
    }

    /** One attempt, as its worker and its router see it. */
    final class SentAttempt {
        final int number;
        final String worker;
        final boolean prefill;
        final long deadline;
        boolean written;
        boolean arrived;
        boolean overAtRouter;
        WorkerEnd workerEnd = WorkerEnd.NONE;

        /** Whether it stands in its worker's queue, so that no release lets go of the state. */
        boolean waitsForState;

        /** Whether an event of its own answer has come to the router. */
        boolean answered;

        /** Whether its worker got it after it was over for the router. */
        boolean arrivedTooLate;

        /** Whether its worker ended it after it was over for the router. */
        boolean endedTooLate;

        /** How it ended for the router. */
        String routerEnd = "";

        /** The connection that it was written to. */
        FaultyNetwork.Connection connection;

        private long writtenAt;

        /** The first bytes on another connection that may be taken for a sign of it. */
        private String evidence = "";

        private SentAttempt(int number, String worker, boolean prefill, long deadline) {
            this.number = number;
            this.worker = worker;
            this.prefill = prefill;
            this.deadline = deadline;
        }

        /**
         * An answer that does not come is an outcome when the router stops waiting: the protocol's
         * 'nothing: timed out'. A decode's answer takes the state, so that matters for prefills.
         */
        boolean isOut() {
            boolean unanswered = workerEnd == WorkerEnd.NONE;
            boolean answerHasNotCome = prefill && workerEnd == WorkerEnd.ANSWERED;
            return arrived && !overAtRouter && (unanswered || answerHasNotCome);
        }

        void written(long now, FaultyNetwork.Connection carrier) {
            written = true;
            writtenAt = now;
            connection = carrier;
            note(now, this + " written on connection " + carrier.number);
        }

        void arrived(long now) {
            arrived = true;
            arrivedTooLate = overAtRouter;
            waitsForState = !prefill;
            note(now, this + " arrived");
        }

        /** It is over at its worker. */
        void overAtWorker(WorkerEnd end, long now) {
            restartClock(now);
            waitsForState = false;
            workerEnd = end;
            endedTooLate = overAtRouter;
            note(now, this + " is over at its worker: " + end);
        }

        /** The router has an outcome of it, or gives it up. */
        void overAtRouter(String how, long now) {
            restartClock(now);
            overAtRouter = true;
            routerEnd = how;
            note(now, this + " is over for the router: " + how);
        }

        private void restartClock(long now) {
            if (isOut() || waitsForState) {
                idleSince = now;
            }
        }

        /** Bytes came from its worker on another connection, in answer to a call. */
        void otherBytes(long now, long callWrittenAt) {
            boolean mayCount = written && !answered && now - writtenAt > SURELY_EARLIER_MICROS;
            if (!mayCount || !evidence.isEmpty()) {
                return;
            }
            String later = now - writtenAt > LONGEST_ROUND_TRIP_MICROS ? " later" : " at once";
            evidence = callWrittenAt >= writtenAt ? "a later call answered" : "other bytes" + later;
            note(now, "bytes from " + worker + " after " + this + " was written: " + evidence);
        }

        /** {@return what spoke for it on other connections} */
        String evidence() {
            return evidence.isEmpty() ? "nothing heard" : evidence;
        }

        @Override
        public String toString() {
            return (prefill ? "prefill " : "decode ") + number + "@" + worker;
        }
    }

    final String name;
    final List<SentAttempt> attempts = new ArrayList<>();

    /** Whether its client got a whole stream. */
    boolean served;

    /** Decodes that found no state to fetch: the prompt is read once more for each. */
    int decodesWithoutState;

    /** Releases that arrived at a worker that runs. */
    int releases;

    private final List<Note> trace = new ArrayList<>();
    private boolean held;
    private SentAttempt heldBy;

    /** Since when no attempt was out, and none waited for a state; or when a state came. */
    private long idleSince;

    RequestTruth(String name) {
        this.name = name;
    }

    SentAttempt sent(int number, String worker, boolean prefill, long deadline, long now) {
        SentAttempt attempt = new SentAttempt(number, worker, prefill, deadline);
        attempts.add(attempt);
        note(now, attempt + " sent");
        return attempt;
    }

    /** A prefill has ended, and its state is held. */
    void held(SentAttempt prefill, long now) {
        held = true;
        heldBy = prefill;
        idleSince = now;
        note(now, prefill + " leaves a state");
    }

    boolean isHeld() {
        return held;
    }

    /** {@return the prefill that left the state} */
    SentAttempt heldBy() {
        return heldBy;
    }

    /** A decode has fetched what is held; all else goes with it. */
    void taken(long now) {
        held = false;
        note(now, "the state is taken");
    }

    /** A release arrived at a worker that runs: it lets go of nothing that a decode waits for. */
    void releaseArrives(String worker, long now) {
        boolean awaited = attempts.stream().anyMatch(attempt -> attempt.waitsForState);
        note(now, "a release arrives at " + worker + describeEffect(awaited));
        held &= awaited;
        releases++;
    }

    private String describeEffect(boolean awaited) {
        if (!held) {
            return ", nothing is held";
        }
        return awaited ? ", a decode waits" : " and lets go of the state";
    }

    /** {@return how long a state has been held that no attempt was out for; 0 for none} */
    long heldForNobodyMicros(long now) {
        boolean clockStands =
                attempts.stream().anyMatch(attempt -> attempt.isOut() || attempt.waitsForState);
        return held && !clockStands ? now - idleSince : 0;
    }

    /** {@return the attempt whose outcome the router waits for, or null} */
    SentAttempt openAtRouter() {
        return attempts.stream().filter(attempt -> !attempt.overAtRouter).findFirst().orElse(null);
    }

    private record Note(long at, String text) {
        @Override
        public String toString() {
            return String.format("%9.1f ms  %s", at / MICROS_PER_MILLI, text);
        }
    }

    void note(long now, String text) {
        trace.add(new Note(now, text));
    }

    /** {@return what happened, a line each} */
    String trace() {
        return trace.stream().map(Note::toString).collect(Collectors.joining("\n"));
    }
}
