package sorrelhoist.core.reservation;

import sorrelhoist.core.reservation.Hold.Certainty;

/**
 * A hold that is not known to be gone.
 *
 * @param hold what is held
 * @param provableFrom from when on a call that is made proves that it is gone; {@link #NEVER} while
 *     its engine has to be heard first
 * @param needed whether an attempt of the request will take it
 * @param awaitsEngine whether it may come when its engine is reachable again
 * @param releasesLeft how many calls have to follow one that was done, as the hold may come late
 */
record OpenHold(
        Hold hold, long provableFrom, boolean needed, boolean awaitsEngine, int releasesLeft) {
    /** In place of a time: not until something else happens. */
    static final long NEVER = Long.MAX_VALUE;

    /** {@return a hold that was opened now} */
    static OpenHold opened(Hold hold, ReleasePolicy policy, long now) {
        boolean confirmed = hold.certainty() == Certainty.CONFIRMED;
        boolean mayComeLate =
                hold.certainty() == Certainty.GIVEN_UP || hold.certainty() == Certainty.UNDELIVERED;
        long provableFrom = confirmed ? now : now + policy.settleMicros();
        return new OpenHold(hold, provableFrom, confirmed, mayComeLate, 0);
    }

    /** {@return the same where no attempt will take prefill states any more} */
    OpenHold withoutPrefillStateNeeded() {
        boolean stillNeeded = needed && !hold.isState();
        return new OpenHold(hold, provableFrom, stillNeeded, awaitsEngine, releasesLeft);
    }

    /** {@return whether its engine was heard again, so that it may have come by now} */
    boolean isLateArrival() {
        return hold.certainty() == Certainty.UNDELIVERED && !awaitsEngine;
    }

    /** {@return whether it may come when its engine is reachable again} */
    boolean awaits(String engine) {
        return awaitsEngine && hold.engine().equals(engine);
    }

    /** {@return the same after an engine was heard} */
    OpenHold engineHeard(String engine, ReleasePolicy policy, long now) {
        if (!awaits(engine)) {
            return this;
        }
        if (hold.certainty() == Certainty.GIVEN_UP && provableFrom != NEVER) {
            return settledAt(provableFrom);
        }
        int releases =
                hold.certainty() == Certainty.UNDELIVERED ? policy.lateArrivalReleases() - 1 : 0;
        return new OpenHold(hold, now + policy.settleMicros(), needed, false, releases);
    }

    /** {@return the same where nothing can be proven until its engine was heard} */
    OpenHold notBeforeEngineIsHeard() {
        return new OpenHold(hold, NEVER, needed, true, 0);
    }

    /** {@return the same where one release was done of those that have to follow each other} */
    OpenHold releasedAgainAt(long time) {
        return new OpenHold(hold, time, needed, false, releasesLeft - 1);
    }

    /** {@return the same where its engine need not be heard any more} */
    OpenHold settledAt(long time) {
        return new OpenHold(hold, time, needed, false, 0);
    }
}
