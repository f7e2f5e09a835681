package sorrelhoist.core.reservation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import sorrelhoist.core.reservation.Hold.Certainty;

/** The holds of one key, the attempt that may consume them, and the release calls for them. */
final class Reservation {
    final ReservationKey key;
    final ReservationHistory history = new ReservationHistory();

    /**
     * When the earliest pending timer of the table for this reservation fires, in microseconds;
     * Long.MAX_VALUE if none is scheduled.
     */
    long timerAt = Long.MAX_VALUE;

    private final ReleasePolicy policy;
    private final List<OpenHold> holds = new ArrayList<>();

    private final PendingReleases releases;
    private ReservationAttempt attempt;
    private boolean unwanted;

    /**
     * When the idle time of the holds began, in microseconds: at the request's last outcome, which
     * is the opening of the reservation or the latest answer to an attempt.
     */
    private long idleSince;

    /** Whether an attempt that was meant to consume the holds ended without starting a stream. */
    private boolean consumptionFailed;

    /**
     * Whether a release call may have released the prefill state while a decode that needs it was
     * in flight.
     */
    private boolean releasedDuringDecode;

    /** Send time of the latest release call that was answered while a decode was in flight. */
    private long latestAnsweredSentAt;

    /** Whether the reservation was already reported as overdue. */
    private boolean overdueReported;

    Reservation(ReservationKey key, ReleasePolicy policy, long now) {
        this.key = key;
        this.policy = policy;
        this.releases = new PendingReleases(policy);
        this.idleSince = now;
    }

    // Events of the request

    void addHold(Hold hold, long now) {
        history.add(ReservationStep.HELD, hold.engine(), now);
        holds.add(OpenHold.opened(hold, policy, now));
        if (hold.isPrefillState() && hold.certainty() == Certainty.CONFIRMED) {
            releasedDuringDecode = false;
        }
        releases.allowCallBy(now);
    }

    void attemptSent(AttemptPurpose purpose, String engine, long now) {
        history.add(ReservationStep.SENT, engine, now);
        attempt = new ReservationAttempt(purpose, engine, unwanted, policy);
        unwanted = false;
    }

    /** Records that the last byte of the attempt was written. Its delivery is not confirmed yet. */
    void attemptWritten(long now) {
        if (attempt != null) {
            history.add(ReservationStep.WRITTEN, attempt.engine, now);
            attempt.written(now);
            markReleasesDuringDecode();
        }
    }

    /** Records that the delivery of the attempt was confirmed, directly or by inference. */
    void attemptDelivered(long now) {
        if (attempt != null) {
            history.add(ReservationStep.DELIVERED, attempt.engine, now);
            attempt.delivered();
            markReleasesDuringDecode();
        }
    }

    /**
     * Marks the release calls in flight if a decode is in flight: they may arrive while the decode
     * waits for the state that they would release.
     */
    private void markReleasesDuringDecode() {
        if (isDecodeInFlight()) {
            releasedDuringDecode |= !releases.isEmpty();
            releases.markDecodeInFlight();
        }
    }

    private boolean isDecodeInFlight() {
        return attempt != null && attempt.isDecodeInFlight();
    }

    /** Records that the attempt waits for a connection to its engine. */
    void attemptConnecting(long now) {
        if (attempt != null) {
            history.add(ReservationStep.CONNECTING, attempt.engine, now);
            attempt.connecting();
        }
    }

    /**
     * Records that no attempt will use the prefill states any more. Decode slots may still be used.
     */
    void prefillStatesUnneeded() {
        holds.replaceAll(OpenHold::withoutPrefillStateNeeded);
    }

    /**
     * Records that the attempt ended. Unless its engine answered it, the idle time of the holds
     * keeps running, and a release that was under way before the attempt resumes.
     */
    void attemptEnded(AttemptEnding ending, long now) {
        boolean answered = ending == AttemptEnding.ANSWERED;
        if (attempt != null) {
            history.add(ReservationStep.of(ending), attempt.engine, now);
            consumptionFailed |= attempt.takesReservation();
            unwanted |= attempt.interruptedRelease && !answered;
            releases.allowCallBy(now);
        }
        attempt = null;
        idleSince = answered ? now : idleSince;
    }

    /** Records that no attempt will consume the holds any more. */
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
     * Records that a stream started: its engine has consumed all holds, except what a lost or
     * abandoned prefill may still create.
     */
    void streamStarted(long now) {
        history.add(ReservationStep.TAKEN, "", now);
        replaceHolds(open -> HoldProof.afterStream(open, now));
        consumptionFailed = false;
        attempt = null;
        unwanted = true;
        releases.allowCallFrom(nextRelease(now));
    }

    private void replaceHolds(Function<OpenHold, Optional<OpenHold>> proof) {
        List<OpenHold> left = holds.stream().map(proof).flatMap(Optional::stream).toList();
        holds.clear();
        holds.addAll(left);
    }

    boolean isEmpty() {
        return holds.isEmpty();
    }

    /**
     * {@return whether every hold was released at least once after its release became due, so that
     * the remaining releases only make sure of it}
     */
    boolean isReleased() {
        return holds.stream().allMatch(OpenHold::released);
    }

    /** Records that an engine responded again: what was in transit to it arrives now or never. */
    void engineResponded(String engine, long now) {
        if (holds.stream().anyMatch(open -> open.awaitsResponseOf(engine))) {
            history.add(ReservationStep.ENGINE_HEARD, engine, now);
            updateAwaitingHolds(engine, open -> open.engineResponded(policy, now));
        }
    }

    /**
     * Records that an engine left the endpoint list. The holds that wait for it are treated as gone
     * after a further period of releases.
     */
    void engineRemoved(String engine, long now) {
        if (holds.stream().anyMatch(open -> open.awaitsResponseOf(engine))) {
            history.add(ReservationStep.ENGINE_REMOVED, engine, now);
            updateAwaitingHolds(engine, open -> open.engineRemoved(policy, now));
        }
    }

    /**
     * Applies a change to the holds that wait for this engine. Only the releases of these holds
     * become due earlier.
     */
    private void updateAwaitingHolds(String engine, UnaryOperator<OpenHold> change) {
        for (int i = 0; i < holds.size(); i++) {
            OpenHold open = holds.get(i);
            if (open.awaitsResponseOf(engine)) {
                OpenHold settling = change.apply(open);
                holds.set(i, settling);
                releases.allowCallBy(settling.releaseDueAt());
            }
        }
    }

    /** {@return the reason for a release that is sent now} */
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

    private long nextRelease(long otherwise) {
        return holds.stream().mapToLong(OpenHold::releaseDueAt).min().orElse(otherwise);
    }

    // Release calls

    /**
     * {@return when the next release call is due, in microseconds; Long.MAX_VALUE if none is due
     * without a further event}
     */
    long due() {
        return releases.due(holds.isEmpty() ? Long.MAX_VALUE : releasableFrom());
    }

    private long releasableFrom() {
        if (unwanted && attempt == null) {
            return Long.MIN_VALUE;
        }
        return attempt != null && mayConsume(attempt)
                ? attempt.releasableFrom(idleSince)
                : idleSince + policy.idleMicros();
    }

    private boolean mayConsume(ReservationAttempt sent) {
        return sent.takesReservation() || holds.stream().allMatch(OpenHold::needed);
    }

    /** {@return the hold whose engine is called first} */
    Hold holdToRelease() {
        Hold latest = holds.get(holds.size() - 1).hold();
        for (OpenHold open : holds) {
            // A queued decode reserves nothing at its engine, so other kinds of holds take
            // precedence.
            latest = open.hold().kind() == Hold.Kind.QUEUED_DECODE ? latest : open.hold();
        }
        return latest;
    }

    PendingReleases releases() {
        return releases;
    }

    /** Records that a release call was sent. */
    void releaseSent(long call, String engine, long now) {
        history.add(ReservationStep.RELEASE_SENT, engine, now);
        releasedDuringDecode |= isDecodeInFlight();
        releases.callSent(call, engine, isDecodeInFlight(), now);
    }

    /**
     * Records that a release call failed.
     *
     * @param canCallOthers whether another engine can be called instead
     */
    void releaseFailed(long call, boolean canCallOthers, long now) {
        if (releases.callFailed(call, canCallOthers, now)) {
            history.add(ReservationStep.RELEASE_FAILED, "", now);
        }
    }

    /**
     * Records that a release call succeeded.
     *
     * @return whether this proves that everything that was releasable when the call was sent is
     *     gone
     */
    boolean releaseSucceeded(long call, long now) {
        PendingReleases.Call answered = releases.callAnswered(call);
        if (answered == null) {
            return false;
        }
        if (answered.decodeWasInFlight()) {
            history.add(ReservationStep.RELEASE_UNPROVEN, "", now);
            scheduleAfterUnprovenAnswer(answered.sentAt, now);
            return false;
        }
        history.add(ReservationStep.RELEASE_PROVEN, "", now);
        replaceHolds(open -> HoldProof.afterRelease(open, policy, answered.sentAt));
        releases.allowCallFrom(nextRelease(0));
        releases.reset();
        return true;
    }

    /**
     * Schedules the next release after an answer that proves nothing. The decode may never have
     * arrived, so it must not postpone the next release indefinitely.
     */
    private void scheduleAfterUnprovenAnswer(long madeAt, long now) {
        releases.reset();
        if (isDecodeInFlight()) {
            latestAnsweredSentAt = Math.max(latestAnsweredSentAt, madeAt);
            releases.allowCallFrom(latestAnsweredSentAt + policy.renewMicros());
        } else if (releases.isEmpty()) {
            releases.allowCallFrom(now);
        }
    }

    /**
     * {@return whether a release was sent while a decode that had not fetched the prefill state was
     * in flight; no other attempt can rely on that state}
     */
    boolean wasReleasedDuringDecode() {
        return releasedDuringDecode;
    }

    /**
     * Abandons all release calls in flight.
     *
     * @return the ids of these calls
     */
    List<Long> abandonCalls(long now) {
        List<Long> abandoned = releases.abandon();
        if (!abandoned.isEmpty()) {
            history.add(ReservationStep.RELEASES_ABANDONED, "", now);
        }
        return abandoned;
    }

    /** Records that no engine released the reservation in time. */
    void expire(long now) {
        history.add(ReservationStep.EXPIRED, "", now);
        releases.expire(now);
    }

    /** {@return the engine that was called last, or the holder if none was called} */
    String lastCalledEngine() {
        return releases.lastCalledEngine().isEmpty() && !holds.isEmpty()
                ? holdToRelease().engine()
                : releases.lastCalledEngine();
    }

    // Reports

    /**
     * {@return whether to log the end of this reservation: the attempt that was meant to consume it
     * did not}
     */
    boolean needsReport() {
        return consumptionFailed;
    }

    /**
     * {@return whether a confirmed reservation without a running attempt has exceeded the limit;
     * true at most once}
     */
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
                key.requestName(),
                state,
                now - idleSince,
                releases.totalCalls(),
                history.toString());
    }
}
