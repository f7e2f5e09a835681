package sorrelhoist.core.reservation;

import sorrelhoist.core.reservation.Hold.Certainty;

/**
 * A hold that is not known to be gone. It ends only when one of the proofs of {@link HoldProof}
 * shows that it is gone. Until then each release is followed by another one within the limit, so
 * that whatever is reserved between two releases is released in time as well.
 *
 * @param hold the held resource
 * @param needed whether an attempt of the request will consume it
 * @param releaseDueAt when the next release is due; an earlier one proves nothing about this hold
 * @param provableFrom the earliest send time of a release that proves that the hold is gone; {@link
 *     #NEVER} until its engine responds or leaves the endpoint list
 * @param renewedUntil until when releases are repeated while the engine does not respond
 * @param released whether a release of this hold was answered that was sent when it was due
 */
record OpenHold(
        Hold hold,
        boolean needed,
        long releaseDueAt,
        long provableFrom,
        long renewedUntil,
        boolean released) {
    /**
     * Stands for a time that is not known until the engine responds or leaves the endpoint list.
     */
    private static final long NEVER = Long.MAX_VALUE;

    /** {@return a new hold, opened at {@code now}} */
    static OpenHold opened(Hold hold, ReleasePolicy policy, long now) {
        long settledAt = now + policy.settleMicros();
        long renewedUntil = now + policy.silentEngineMicros();
        return switch (hold.certainty()) {
            case CONFIRMED -> new OpenHold(hold, true, now, now, NEVER, false);
            case POSSIBLE -> new OpenHold(hold, false, settledAt, settledAt, NEVER, false);
            case GIVEN_UP, UNDELIVERED ->
                    new OpenHold(hold, false, settledAt, NEVER, renewedUntil, false);
        };
    }

    /** {@return a copy after the request no longer needs prefill states} */
    OpenHold withoutPrefillStateNeeded() {
        boolean stillNeeded = needed && !hold.isPrefillState();
        return new OpenHold(hold, stillNeeded, releaseDueAt, provableFrom, renewedUntil, released);
    }

    /**
     * {@return whether the attempt of this hold was undelivered and may have arrived by now, as its
     * engine has since responded or left the endpoint list}
     */
    boolean isLateArrival() {
        return hold.certainty() == Certainty.UNDELIVERED && provableFrom != NEVER;
    }

    /** {@return whether the hold waits for this engine to respond or to leave the endpoint list} */
    boolean awaitsResponseOf(String engine) {
        return provableFrom == NEVER && hold.engine().equals(engine);
    }

    /**
     * {@return whether the hold may still exist after a release that was sent at {@code
     * releaseMadeAt}}
     */
    boolean mayOutlive(long releaseMadeAt) {
        return releaseDueAt > releaseMadeAt || provableFrom > releaseMadeAt;
    }

    /** {@return a copy after the awaited engine responded} */
    OpenHold engineResponded(ReleasePolicy policy, long now) {
        return provableFrom(now + policy.lateArrivalMicros(), policy, now);
    }

    /** {@return a copy after the awaited engine left the endpoint list} */
    OpenHold engineRemoved(ReleasePolicy policy, long now) {
        return provableFrom(now + policy.removedEngineMicros(), policy, now);
    }

    /**
     * {@return a copy that a release from {@code time} on proves to be gone} Its next release is
     * due after the settling time, or earlier if it was already due earlier.
     */
    private OpenHold provableFrom(long time, ReleasePolicy policy, long now) {
        long dueAt = Math.min(releaseDueAt, now + policy.settleMicros());
        return new OpenHold(hold, needed, dueAt, time, NEVER, released);
    }

    /**
     * {@return a copy after an answer to a release that was sent at {@code madeAt}, when it was
     * due}
     */
    OpenHold released(ReleasePolicy policy, long madeAt) {
        long nextDueAt = madeAt < renewedUntil ? madeAt + policy.renewMicros() : NEVER;
        return new OpenHold(hold, needed, nextDueAt, provableFrom, renewedUntil, true);
    }
}
