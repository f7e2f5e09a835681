package sorrelhoist.core.reservation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import sorrelhoist.core.reservation.Hold.Certainty;

/** The holds of one key, the attempt that may take them, and the calls that release them. */
final class Reservation {
    final ReservationKey key;
    final ReservationHistory history = new ReservationHistory();

    /** The time of the table's timer for it; Long.MAX_VALUE for none. */
    long timerAt = Long.MAX_VALUE;

    private final ReleasePolicy policy;
    private final List<OpenHold> holds = new ArrayList<>();

    private final PendingReleases releases;
    private ReservationAttempt attempt;
    private boolean unwanted;
    private long idleSince;

    /** Whether an attempt that was to take what is held has ended without a stream. */
    private boolean takeFailed;

    /** Whether a release may have let go of what a decode that is out has not taken yet. */
    private boolean releasedBesideDecode;

    /** When the latest of the releases was made that were answered beside a decode. */
    private long latestAnsweredAt;

    /** Whether it was reported that it has waited for too long. */
    private boolean overdueReported;

    Reservation(ReservationKey key, ReleasePolicy policy, long now) {
        this.key = key;
        this.policy = policy;
        this.releases = new PendingReleases(policy);
        this.idleSince = now;
    }

    // What happens to its request

    void opened(Hold hold, long now) {
        history.add(ReservationStep.HELD, hold.engine(), now);
        holds.add(OpenHold.opened(hold, policy, now));
        if (hold.isState() && hold.certainty() == Certainty.CONFIRMED) {
            releasedBesideDecode = false;
        }
        releases.callBy(now);
    }

    void attemptSent(AttemptPurpose purpose, String engine, long now) {
        history.add(ReservationStep.SENT, engine, now);
        attempt = new ReservationAttempt(purpose, engine, unwanted, policy);
        unwanted = false;
    }

    /** The attempt's last byte was written; nothing shows yet that its engine has it. */
    void attemptWritten(long now) {
        if (attempt != null) {
            history.add(ReservationStep.WRITTEN, attempt.engine, now);
            attempt.written(now);
            noteDecodeOut();
        }
    }

    /** The attempt's engine has it. */
    void attemptDelivered(long now) {
        if (attempt != null) {
            history.add(ReservationStep.DELIVERED, attempt.engine, now);
            attempt.delivered();
            noteDecodeOut();
        }
    }

    /** Releases that are on their way may arrive while a decode waits for what they would end. */
    private void noteDecodeOut() {
        if (isDecodeOut()) {
            releasedBesideDecode |= !releases.isEmpty();
            releases.decodeIsOut();
        }
    }

    private boolean isDecodeOut() {
        return attempt != null && attempt.isDecodeOut();
    }

    /** A connection to the attempt's engine has to come up first. */
    void attemptConnecting(long now) {
        if (attempt != null) {
            history.add(ReservationStep.CONNECTING, attempt.engine, now);
            attempt.connecting();
        }
    }

    /** No attempt will use the prefill states; decode slots may still be used. */
    void prefillStatesUnneeded() {
        holds.replaceAll(OpenHold::withoutPrefillStateNeeded);
    }

    /**
     * The attempt ended. Where its engine has not answered it, the time of what is held has run on,
     * and a release that had begun before it goes on.
     */
    void attemptEnded(AttemptEnding ending, long now) {
        boolean answered = ending == AttemptEnding.ANSWERED;
        if (attempt != null) {
            history.add(ReservationStep.of(ending), attempt.engine, now);
            takeFailed |= attempt.takesReservation();
            unwanted |= attempt.stoppedRelease && !answered;
            releases.callBy(now);
        }
        attempt = null;
        idleSince = answered ? now : idleSince;
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
        releases.callFrom(nextRelease(now));
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
     * {@return whether all that is held was released once it could be, so that what is left is to
     * make sure of it}
     */
    boolean isReleased() {
        return holds.stream().allMatch(OpenHold::released);
    }

    /** An engine is reachable again: what was on its way there arrives now, or never. */
    void engineHeard(String engine, long now) {
        if (holds.stream().anyMatch(open -> open.awaits(engine))) {
            history.add(ReservationStep.ENGINE_HEARD, engine, now);
            settle(engine, open -> open.engineHeard(policy, now));
        }
    }

    /** An engine is gone, and what may have been held there with it. */
    void engineRemoved(String engine, long now) {
        if (holds.stream().anyMatch(open -> open.awaits(engine))) {
            history.add(ReservationStep.ENGINE_REMOVED, engine, now);
            settle(engine, open -> open.engineRemoved(policy, now));
        }
    }

    /** Changes the holds that await an engine; their releases alone become due earlier by it. */
    private void settle(String engine, UnaryOperator<OpenHold> change) {
        for (int i = 0; i < holds.size(); i++) {
            OpenHold open = holds.get(i);
            if (open.awaits(engine)) {
                OpenHold settling = change.apply(open);
                holds.set(i, settling);
                releases.callBy(settling.releaseDueAt());
            }
        }
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

    private long nextRelease(long otherwise) {
        return holds.stream().mapToLong(OpenHold::releaseDueAt).min().orElse(otherwise);
    }

    // Releases

    /** {@return when the next call is due; Long.MAX_VALUE for never as things are} */
    long due() {
        return releases.due(holds.isEmpty() ? Long.MAX_VALUE : releasableFrom());
    }

    private long releasableFrom() {
        if (unwanted && attempt == null) {
            return Long.MIN_VALUE;
        }
        return attempt != null && mayTake(attempt)
                ? attempt.releasableFrom(idleSince)
                : idleSince + policy.idleMicros();
    }

    private boolean mayTake(ReservationAttempt sent) {
        return sent.takesReservation() || holds.stream().allMatch(OpenHold::needed);
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

    /** {@return the calls that release it} */
    PendingReleases releases() {
        return releases;
    }

    /** A call was made. */
    void called(long call, String engine, long now) {
        history.add(ReservationStep.RELEASE_SENT, engine, now);
        releasedBesideDecode |= isDecodeOut();
        releases.made(call, engine, isDecodeOut(), now);
    }

    /** A call ended without an answer. */
    void callFailed(long call, boolean others, long now) {
        if (releases.failed(call, others, now)) {
            history.add(ReservationStep.RELEASE_FAILED, "", now);
        }
    }

    /**
     * A call was answered. {@return whether that proves that what could be released when it was
     * made is gone}
     */
    boolean callDone(long call, long now) {
        PendingReleases.Call answered = releases.answered(call);
        if (answered == null) {
            return false;
        }
        if (answered.decodeWasOut()) {
            history.add(ReservationStep.RELEASE_UNPROVEN, "", now);
            answerProvesNothing(answered.madeAt, now);
            return false;
        }
        history.add(ReservationStep.RELEASE_PROVEN, "", now);
        replaceHolds(open -> HoldProof.afterRelease(open, policy, answered.madeAt));
        releases.callFrom(nextRelease(0));
        releases.restart();
        return true;
    }

    /** The decode may never have arrived, so it does not put the next release off without end. */
    private void answerProvesNothing(long madeAt, long now) {
        releases.restart();
        if (isDecodeOut()) {
            latestAnsweredAt = Math.max(latestAnsweredAt, madeAt);
            releases.callFrom(latestAnsweredAt + policy.renewMicros());
        } else if (releases.isEmpty()) {
            releases.callFrom(now);
        }
    }

    /**
     * {@return whether a release went out beside a decode that had not taken the prefill state: no
     * other attempt can count on it}
     */
    boolean wasReleasedBesideDecode() {
        return releasedBesideDecode;
    }

    /** {@return the calls that are not waited for any more} */
    List<Long> abandonCalls(long now) {
        List<Long> abandoned = releases.abandon();
        if (!abandoned.isEmpty()) {
            history.add(ReservationStep.RELEASES_ABANDONED, "", now);
        }
        return abandoned;
    }

    /** No engine has released it in time. */
    void expire(long now) {
        history.add(ReservationStep.EXPIRED, "", now);
        releases.expire(now);
    }

    /** {@return the engine that was asked last, or that holds it} */
    String lastAsked() {
        return releases.lastAsked().isEmpty() && !holds.isEmpty()
                ? latest().engine()
                : releases.lastAsked();
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
                key.requestName(),
                state,
                now - idleSince,
                releases.callsMadeInAll(),
                history.toString());
    }
}
