package sorrelhoist.core.reservation;

/**
 * When releases are sent. All times follow from the one limit within which a reservation has to be
 * taken or released, counted from the last outcome of its request.
 *
 * @param reach which engines can release a reservation
 * @param limitMicros the limit, in microseconds
 */
public record ReleasePolicy(ReleaseReach reach, long limitMicros) {
    private static final int SETTLED_SHARE = 2;
    private static final int RETRY_SHARE = 8;
    private static final int SAFETY_MARGIN_SHARE = 5;
    private static final int EXPIRY_FACTOR = 4;
    private static final int CONFIRMATION_SHARE = 5;
    private static final int LATEST_START_PERCENT = 60;
    private static final int PERCENT = 100;
    private static final int LATE_ARRIVAL_FACTOR = 4;
    private static final int REMOVED_ENGINE_FACTOR = 6;
    private static final int UNHEARD_ENGINE_FACTOR = 60;

    /**
     * {@return how long after a request's last outcome its reservations are released where nothing
     * has taken them} The other half of the limit is for engines that do not answer.
     */
    public long idleMicros() {
        return limitMicros / SETTLED_SHARE;
    }

    /**
     * {@return how long an attempt that was written has until something shows that it was
     * delivered} Until then it stops the release of what it is to take, but no longer than {@link
     * #latestStartMicros()}.
     */
    public long confirmationMicros() {
        return limitMicros / CONFIRMATION_SHARE;
    }

    /**
     * {@return how long after a request's last outcome its reservations are released at the latest,
     * unless their engine has the attempt that takes them}
     */
    public long latestStartMicros() {
        return limitMicros * LATEST_START_PERCENT / PERCENT;
    }

    /**
     * {@return for how long what an attempt may leave that its engine has not answered is released
     * once that engine was heard again} The attempt may have to wait there, and its own connection
     * may be silent for longer than others.
     */
    public long lateArrivalMicros() {
        return limitMicros * LATE_ARRIVAL_FACTOR;
    }

    /**
     * {@return for how long what such an attempt may leave is released while its engine is not
     * heard} It is released again once that engine is heard, however late; what it had begun before
     * it fell silent has ended by then.
     */
    public long unheardEngineMicros() {
        return limitMicros * UNHEARD_ENGINE_FACTOR;
    }

    /**
     * {@return for how long what such an attempt may leave is released once its engine has left the
     * endpoint list} A stopped engine may be taken off the list, and go on with what it has.
     */
    public long removedEngineMicros() {
        return limitMicros * REMOVED_ENGINE_FACTOR;
    }

    /**
     * {@return how long an attempt that is over may still be under way at its engine} It is
     * cancelled at once, but a release travels on another connection and may overtake that.
     */
    public long settleMicros() {
        return limitMicros / SETTLED_SHARE;
    }

    /** {@return how long one engine's answer is waited for before another is asked as well} */
    public long retryMicros() {
        return limitMicros / RETRY_SHARE;
    }

    /**
     * {@return by how much before the limit a release has arrived, where one of three engines asked
     * can do it}
     */
    public long safetyMarginMicros() {
        return limitMicros / SAFETY_MARGIN_SHARE;
    }

    /**
     * {@return after which a hold that is not settled is released again} What came to be held right
     * after one release is let go of by the next within the limit.
     */
    public long renewMicros() {
        return limitMicros - safetyMarginMicros();
    }

    /**
     * {@return how long a release is tried for; what no engine has released by then is reported.
     * Where its holder alone could, it is forgotten; where any engine can, it is tried again in
     * this interval, as engines return}
     */
    public long expiryMicros() {
        return limitMicros * EXPIRY_FACTOR;
    }
}
