package sorrelhoist.core.reservation;

import sorrelhoist.core.reservation.Hold.Certainty;

/**
 * A hold that is not known to be gone: a lease that releases alone end. While it is unsettled, each
 * release is followed by another one within the limit, so that what comes to be held between two of
 * them is released in time as well.
 *
 * @param hold what is held
 * @param needed whether an attempt of the request will take it
 * @param releaseDueAt when the next release is due; an earlier one proves nothing of it
 * @param awaitsEngine whether its engine has to be heard before it is settled
 * @param releasesLeft how many releases have to follow the next one, as it may come late
 * @param released whether a release was answered that was made when it was due
 */
record OpenHold(
        Hold hold,
        boolean needed,
        long releaseDueAt,
        boolean awaitsEngine,
        int releasesLeft,
        boolean released) {
    /** {@return a hold that was opened now} */
    static OpenHold opened(Hold hold, ReleasePolicy policy, long now) {
        boolean confirmed = hold.certainty() == Certainty.CONFIRMED;
        boolean mayComeLate =
                hold.certainty() == Certainty.GIVEN_UP || hold.certainty() == Certainty.UNDELIVERED;
        long releaseDueAt = confirmed ? now : now + policy.settleMicros();
        return new OpenHold(hold, confirmed, releaseDueAt, mayComeLate, 0, false);
    }

    /** {@return the same where no attempt will take prefill states any more} */
    OpenHold withoutPrefillStateNeeded() {
        boolean stillNeeded = needed && !hold.isState();
        return new OpenHold(hold, stillNeeded, releaseDueAt, awaitsEngine, releasesLeft, released);
    }

    /** {@return whether its engine was heard again, so that it may have come by now} */
    boolean isLateArrival() {
        return hold.certainty() == Certainty.UNDELIVERED && !awaitsEngine;
    }

    /** {@return whether it is not settled before an engine was heard} */
    boolean awaits(String engine) {
        return awaitsEngine && hold.engine().equals(engine);
    }

    /** {@return whether it may be there after a release that was made at a time} */
    boolean mayOutlive(long releaseMadeAt) {
        return releaseDueAt > releaseMadeAt || awaitsEngine || releasesLeft > 0;
    }

    /** {@return the same after an engine was heard} */
    OpenHold engineHeard(String engine, ReleasePolicy policy, long now) {
        return awaits(engine)
                ? settledAt(now + policy.settleMicros(), policy.releasesOnceHeard())
                : this;
    }

    /** {@return the same where its engine will not be heard any more} */
    OpenHold engineRemoved(String engine, ReleasePolicy policy, long now) {
        return awaits(engine) ? settledAt(now + policy.settleMicros(), 1) : this;
    }

    /** A release that was due before goes out all the same. */
    private OpenHold settledAt(long time, int releases) {
        boolean dueBefore = releaseDueAt < time;
        return new OpenHold(
                hold,
                needed,
                Math.min(releaseDueAt, time),
                false,
                dueBefore ? releases : releases - 1,
                released);
    }

    /** {@return the same after a release was answered that was made when it was due} */
    OpenHold released(ReleasePolicy policy, long madeAt) {
        int left = awaitsEngine ? releasesLeft : releasesLeft - 1;
        long nextDueAt = madeAt + policy.renewMicros();
        return new OpenHold(hold, needed, nextDueAt, awaitsEngine, left, true);
    }
}
