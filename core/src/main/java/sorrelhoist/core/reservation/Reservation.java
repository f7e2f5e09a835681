package sorrelhoist.core.reservation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import sorrelhoist.core.reservation.Hold.Certainty;

/** The holds of one key, the attempt that may take them, and the calls that release them. */
final class Reservation {
    /** Calls that follow each other at the retry interval; then each wait doubles. */
    private static final int CALLS_BEFORE_BACKOFF = 4;

    /** How far the running attempt has come. */
    private enum Progress {
        CONNECTING,
        WRITTEN,
        DELIVERED
    }

    /** The running attempt. */
    private static final class Attempt {
        final AttemptPurpose purpose;
        final String engine;

        /** Whether the holds were being released until this attempt went out. */
        final boolean stoppedRelease;

        Progress progress = Progress.CONNECTING;
        long writtenAt;

        /** Whether it was written before anything showed that it arrived. */
        boolean deliveryInferred;

        /** Whether a release was answered since it was written. */
        boolean releaseAnswered;

        Attempt(AttemptPurpose purpose, String engine, boolean stoppedRelease) {
            this.purpose = purpose;
            this.engine = engine;
            this.stoppedRelease = stoppedRelease;
        }
    }

    /** A release that was sent and not answered. */
    private static final class PendingCall {
        final long madeAt;

        /** Whether a decode was with an engine since the call was made. */
        boolean decodeWasOut;

        PendingCall(long madeAt, boolean decodeWasOut) {
            this.madeAt = madeAt;
            this.decodeWasOut = decodeWasOut;
        }
    }

    final ReservationKey key;
    final ReservationHistory history = new ReservationHistory();

    /** The time of the table's timer for it; Long.MAX_VALUE for none. */
    long timerAt = Long.MAX_VALUE;

    private final ReleasePolicy policy;
    private final List<OpenHold> holds = new ArrayList<>();

    private final Map<Long, PendingCall> calls = new HashMap<>();

    private final Set<String> asked = new HashSet<>();
    private Attempt attempt;
    private boolean unwanted;
    private long idleSince;
    private long callableFrom;
    private long expiresAt = Long.MAX_VALUE;
    private int callsMade;
    private String lastAsked = "";
    private int releasesMade;
    private boolean expired;

    /** Whether an attempt that was to take what is held has ended without a stream. */
    private boolean takeFailed;

    /** Whether it was reported that it has waited for too long. */
    private boolean overdueReported;

    Reservation(ReservationKey key, ReleasePolicy policy, long now) {
        this.key = key;
        this.policy = policy;
        this.idleSince = now;
    }

    // What happens to its request

    void opened(Hold hold, long now) {
        history.add(ReservationStep.HELD, hold.engine(), now);
        holds.add(OpenHold.opened(hold, policy, now));
        callableFrom = Math.min(callableFrom, now);
    }

    void attemptSent(AttemptPurpose purpose, String engine, long now) {
        history.add(ReservationStep.SENT, engine, now);
        attempt = new Attempt(purpose, engine, unwanted);
        unwanted = false;
    }

    /** The attempt's last byte was written; nothing shows yet that its engine has it. */
    void attemptWritten(long now) {
        if (attempt != null) {
            history.add(ReservationStep.WRITTEN, attempt.engine, now);
            attempt.progress = Progress.WRITTEN;
            attempt.writtenAt = now;
            noteDecodeOut();
        }
    }

    /** The attempt's engine has it. */
    void attemptDelivered(long now) {
        if (attempt != null) {
            history.add(ReservationStep.DELIVERED, attempt.engine, now);
            attempt.deliveryInferred = attempt.progress == Progress.WRITTEN;
            attempt.progress = Progress.DELIVERED;
            noteDecodeOut();
        }
    }

    /** Releases that are on their way may arrive while a decode waits for what they would end. */
    private void noteDecodeOut() {
        if (isDecodeOut()) {
            calls.values().forEach(call -> call.decodeWasOut = true);
        }
    }

    /** {@return whether a decode may be with an engine, so that a release proves nothing} */
    private boolean isDecodeOut() {
        return policy.reach() == ReleaseReach.ANY_ENGINE
                && attempt != null
                && attempt.purpose != AttemptPurpose.PREFILL
                && attempt.progress != Progress.CONNECTING;
    }

    /** A connection to the attempt's engine has to come up first. */
    void attemptConnecting(long now) {
        if (attempt != null) {
            history.add(ReservationStep.CONNECTING, attempt.engine, now);
            attempt.progress = Progress.CONNECTING;
        }
    }

    /** No attempt will use the prefill states; decode slots may still be used. */
    void prefillStatesUnneeded() {
        holds.replaceAll(OpenHold::withoutPrefillStateNeeded);
    }

    /**
     * The attempt ended. Where it never reached its engine, the time of what is held has run on,
     * and a release that had begun before it goes on.
     */
    void attemptEnded(AttemptEnding ending, long now) {
        boolean reached = hasReachedEngine(ending);
        if (attempt != null) {
            history.add(ReservationStep.of(ending), attempt.engine, now);
            takeFailed |= attempt.purpose == AttemptPurpose.DECODE_RESERVED;
            callableFrom = Math.min(callableFrom, now);
            unwanted |= attempt.stoppedRelease && !reached;
        }
        attempt = null;
        idleSince = reached ? now : idleSince;
    }

    /** An attempt that may not have arrived has not stopped the time of what is held. */
    private boolean hasReachedEngine(AttemptEnding ending) {
        return switch (ending) {
            case ANSWERED -> true;
            case NOT_SENT -> false;
            case LOST, GIVEN_UP -> attempt == null || attempt.progress == Progress.DELIVERED;
        };
    }

    /** Nothing will take what is held any more. */
    void unwanted(long now) {
        if (!unwanted) {
            history.add(ReservationStep.UNWANTED, "", now);
        }
        unwanted = true;
    }

    boolean isUnwanted() {
        return unwanted;
    }

    /**
     * A stream began: its engine has taken all that was held, but for what a lost prefill may yet
     * leave.
     */
    void taken(long now) {
        history.add(ReservationStep.TAKEN, "", now);
        replaceHolds(open -> HoldProof.afterStream(open, now));
        takeFailed = false;
        attempt = null;
        unwanted = true;
        callableFrom = nextProvable(now);
    }

    private void replaceHolds(Function<OpenHold, Optional<OpenHold>> proof) {
        List<OpenHold> left = holds.stream().map(proof).flatMap(Optional::stream).toList();
        holds.clear();
        holds.addAll(left);
    }

    boolean holdsNothing() {
        return holds.isEmpty();
    }

    /**
     * {@return whether it waits for an engine alone that has to be heard before a release is of
     * use}
     */
    boolean awaitsEngineOnly() {
        return calls.isEmpty()
                && holds.stream().allMatch(open -> open.provableFrom() == OpenHold.NEVER);
    }

    /** An engine is reachable again: what was on its way there arrives now, or never. */
    void engineHeard(String engine, long now) {
        if (holds.stream().anyMatch(open -> open.awaits(engine))) {
            history.add(ReservationStep.ENGINE_HEARD, engine, now);
        }
        holds.replaceAll(open -> open.engineHeard(engine, policy, now));
        callableFrom = Math.min(callableFrom, nextProvable(now));
    }

    /** An engine is gone, and what may have been held there with it. */
    void engineRemoved(String engine, long now) {
        if (holds.stream().anyMatch(open -> open.awaits(engine))) {
            history.add(ReservationStep.ENGINE_REMOVED, engine, now);
        }
        holds.replaceAll(open -> HoldProof.afterEngineRemoved(open, engine, policy, now));
        callableFrom = Math.min(callableFrom, nextProvable(now));
    }

    /** {@return why what is held is released now} */
    ReleaseCause releaseCause() {
        boolean late = holds.stream().anyMatch(OpenHold::isLateArrival);
        if (late) {
            return ReleaseCause.LATE_ARRIVAL;
        }
        return unwanted && attempt == null ? ReleaseCause.UNWANTED : ReleaseCause.WAITED_TOO_LONG;
    }

    long idleSince() {
        return idleSince;
    }

    private long nextProvable(long otherwise) {
        return holds.stream().mapToLong(OpenHold::provableFrom).min().orElse(otherwise);
    }

    // Releases

    /** {@return when the next call is due; Long.MAX_VALUE for never as things are} */
    long due() {
        long releasableFrom = holds.isEmpty() ? Long.MAX_VALUE : releasableFrom();
        return releasableFrom == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : Math.min(expiresAt, Math.max(callableFrom, releasableFrom));
    }

    private long releasableFrom() {
        if (unwanted && attempt == null) {
            return Long.MIN_VALUE;
        }
        long ordinary = idleSince + policy.idleMicros();
        if (attempt == null || !mayTake(attempt)) {
            return ordinary;
        }
        return switch (attempt.progress) {
            case CONNECTING -> ordinary;
            case WRITTEN -> Math.max(ordinary, releasableIfUnconfirmed(attempt.writtenAt));
            case DELIVERED -> releasableIfInferred();
        };
    }

    private boolean mayTake(Attempt sent) {
        return sent.purpose == AttemptPurpose.DECODE_RESERVED
                || holds.stream().allMatch(OpenHold::needed);
    }

    /**
     * Bytes on another connection have shown that the engine of a decode runs. Its own connection
     * may have fallen silent all the same, so what it is to take is released once within the limit:
     * nothing comes of that where the decode waits for it.
     */
    private long releasableIfInferred() {
        boolean due =
                policy.reach() == ReleaseReach.ANY_ENGINE
                        && attempt.purpose == AttemptPurpose.DECODE_RESERVED
                        && attempt.deliveryInferred
                        && !attempt.releaseAnswered;
        return due ? idleSince + policy.latestStartMicros() : Long.MAX_VALUE;
    }

    private long releasableIfUnconfirmed(long writtenAt) {
        return Math.min(
                writtenAt + policy.confirmationMicros(), idleSince + policy.latestStartMicros());
    }

    boolean isExpired(long now) {
        return now >= expiresAt;
    }

    /** {@return the hold whose engine is asked first} */
    Hold latest() {
        Hold latest = holds.get(holds.size() - 1).hold();
        for (OpenHold open : holds) {
            // An engine in whose queue a decode may stand holds nothing itself.
            latest = open.hold().kind() == Hold.Kind.QUEUED_DECODE ? latest : open.hold();
        }
        return latest;
    }

    Set<String> asked() {
        return asked;
    }

    /** A call was made. */
    void called(long call, String engine, long now) {
        history.add(ReservationStep.RELEASE_SENT, engine, now);
        calls.put(call, new PendingCall(now, isDecodeOut()));
        asked.add(engine);
        lastAsked = engine;
        callsMade++;
        releasesMade++;
        waitForAnswer(now);
    }

    /** No engine can be asked now. */
    void waitForAnswer(long now) {
        if (expired) {
            callableFrom = now + policy.expiryMicros();
            return;
        }
        // The first few follow each other quickly, as the limit runs; after that it is too late for
        // haste.
        callableFrom =
                now + (policy.retryMicros() << Math.max(0, callsMade - CALLS_BEFORE_BACKOFF));
        expiresAt = expiresAt == Long.MAX_VALUE ? now + policy.expiryMicros() : expiresAt;
    }

    /** No engine has released it in time. It is still tried, now and then, as engines return. */
    void expire(long now) {
        history.add(ReservationStep.EXPIRED, "", now);
        expired = true;
        expiresAt = Long.MAX_VALUE;
        callableFrom = now + policy.expiryMicros();
    }

    boolean hasExpired() {
        return expired;
    }

    /** A call ended without a release: another engine is asked, the first few at once. */
    void callFailed(long call, boolean others, long now) {
        if (calls.remove(call) == null) {
            return;
        }
        history.add(ReservationStep.RELEASE_FAILED, "", now);
        if (others && callsMade < CALLS_BEFORE_BACKOFF) {
            callableFrom = now;
        }
    }

    /**
     * A call was answered. {@return whether that proves that what could be released when it was
     * made is gone}
     */
    boolean callDone(long call, long now) {
        PendingCall answered = calls.remove(call);
        if (answered == null) {
            return false;
        }
        expired = false;
        if (answered.decodeWasOut) {
            history.add(ReservationStep.RELEASE_UNPROVEN, "", now);
            noteReleaseAnswered();
            releaseAgainLater(now);
            return false;
        }
        history.add(ReservationStep.RELEASE_PROVEN, "", now);
        replaceHolds(open -> HoldProof.afterRelease(open, policy, answered.madeAt));
        callableFrom = nextProvable(0);
        resetCalls();
        return true;
    }

    private void noteReleaseAnswered() {
        if (attempt != null) {
            attempt.releaseAnswered = true;
        }
    }

    /** The decode may never have arrived, so it does not put the next release off without end. */
    private void releaseAgainLater(long now) {
        if (calls.isEmpty()) {
            resetCalls();
            callableFrom = isDecodeOut() ? now + policy.settleMicros() : now;
        }
    }

    /** {@return the calls that are not waited for any more} */
    List<Long> abandonCalls(long now) {
        List<Long> abandoned = List.copyOf(calls.keySet());
        if (!abandoned.isEmpty()) {
            history.add(ReservationStep.RELEASES_ABANDONED, "", now);
        }
        calls.clear();
        resetCalls();
        return abandoned;
    }

    private void resetCalls() {
        asked.clear();
        expiresAt = Long.MAX_VALUE;
        callsMade = 0;
    }

    void forgetAsked() {
        asked.clear();
    }

    int callsMade() {
        return callsMade;
    }

    String lastAsked() {
        return lastAsked.isEmpty() && !holds.isEmpty() ? latest().engine() : lastAsked;
    }

    // Reports

    /** {@return whether its end is worth a line: what was to take it has not} */
    boolean isWorthReporting() {
        return takeFailed;
    }

    /** {@return whether it has waited for longer than the limit, said once} */
    boolean becameOverdue(long now) {
        boolean confirmed =
                holds.stream().anyMatch(open -> open.hold().certainty() == Certainty.CONFIRMED);
        boolean overdue =
                confirmed
                        && !overdueReported
                        && attempt == null
                        && now - idleSince > policy.limitMicros();
        overdueReported |= overdue;
        return overdue;
    }

    ReservationReport report(ReservationReport.State state, long now) {
        return new ReservationReport(
                key.requestName(), state, now - idleSince, releasesMade, history.toString());
    }
}
