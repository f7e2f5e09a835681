package sorrelhoist.core.reservation;

import sorrelhoist.core.reservation.Hold.Certainty;

/**
 * A hold that is not known to be gone: a lease that releases alone end. Until one is made that
 * proves that it is gone, each release is followed by another one within the limit, so that what
 * comes to be held between two of them is released in time as well.
 *
 * @param hold what is held
 * @param needed whether an attempt of the request will take it
 * @param releaseDueAt when the next release is due; an earlier one proves nothing of it
 * @param provableFrom from when on a release that is made proves that it is gone; {@link #NEVER}
 *     while its engine has to be heard first
 * @param renewedUntil until when releases follow each other while its engine is not heard
 * @param released whether a release was answered that was made when it was due
 */
record OpenHold(
        Hold hold,
        boolean needed,
        long releaseDueAt,
        long provableFrom,
        long renewedUntil,
        boolean released) {
    /** In place of a time: not until its engine was heard, or has left the endpoint list. */
    private static final long NEVER = Long.MAX_VALUE;

    /** {@return a hold that was opened now} */
    static OpenHold opened(Hold hold, ReleasePolicy policy, long now) {
        long settledAt = now + policy.settleMicros();
        long renewedUntil = now + policy.unheardEngineMicros();
        return switch (hold.certainty()) {
            case CONFIRMED -> new OpenHold(hold, true, now, now, NEVER, false);
            case POSSIBLE -> new OpenHold(hold, false, settledAt, settledAt, NEVER, false);
            case GIVEN_UP, UNDELIVERED ->
                    new OpenHold(hold, false, settledAt, NEVER, renewedUntil, false);
        };
    }

    /** {@return the same where no attempt will take prefill states any more} */
    OpenHold withoutPrefillStateNeeded() {
        boolean stillNeeded = needed && !hold.isState();
        return new OpenHold(hold, stillNeeded, releaseDueAt, provableFrom, renewedUntil, released);
    }

    /** {@return whether its engine was heard again, so that it may have come by now} */
    boolean isLateArrival() {
        return hold.certainty() == Certainty.UNDELIVERED && provableFrom != NEVER;
    }

    /** {@return whether it is not settled before an engine was heard} */
    boolean awaits(String engine) {
        return provableFrom == NEVER && hold.engine().equals(engine);
    }

    /** {@return whether it may be there after a release that was made at a time} */
    boolean mayOutlive(long releaseMadeAt) {
        return releaseDueAt > releaseMadeAt || provableFrom > releaseMadeAt;
    }

    /** {@return the same after the engine that it awaits was heard} */
    OpenHold engineHeard(ReleasePolicy policy, long now) {
        return provableFrom(now + policy.lateArrivalMicros(), policy, now);
    }

    /** {@return the same where the engine that it awaits has left the endpoint list} */
    OpenHold engineRemoved(ReleasePolicy policy, long now) {
        return provableFrom(now + policy.removedEngineMicros(), policy, now);
    }

    /** A release that was due before goes out all the same. */
    private OpenHold provableFrom(long time, ReleasePolicy policy, long now) {
        long dueAt = Math.min(releaseDueAt, now + policy.settleMicros());
        return new OpenHold(hold, needed, dueAt, time, NEVER, released);
    }

    /** {@return the same after a release was answered that was made when it was due} */
    OpenHold released(ReleasePolicy policy, long madeAt) {
        long nextDueAt = madeAt < renewedUntil ? madeAt + policy.renewMicros() : NEVER;
        return new OpenHold(hold, needed, nextDueAt, provableFrom, renewedUntil, true);
    }
}
