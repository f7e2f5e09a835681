package sorrelhoist.core.reservation;

/**
 * Times at which releases are sent. All times are derived from one limit: a reservation has to be
 * consumed or released within it, counted from the last outcome of its request.
 *
 * @param reach which engines can release a reservation
 * @param limitMicros the limit, in microseconds
 */
public record ReleasePolicy(ReleaseReach reach, long limitMicros) {
    private static final int SETTLE_DIVISOR = 2;
    private static final int RETRY_DIVISOR = 8;
    private static final int SAFETY_MARGIN_DIVISOR = 5;
    private static final int EXPIRY_FACTOR = 4;
    private static final int CONFIRMATION_DIVISOR = 5;
    private static final int LATEST_START_PERCENT = 60;
    private static final int PERCENT = 100;
    private static final int LATE_ARRIVAL_FACTOR = 4;
    private static final int REMOVED_ENGINE_FACTOR = 6;
    private static final int SILENT_ENGINE_FACTOR = 60;

    /**
     * {@return the time after a request's last outcome until its reservations are released if no
     * attempt has consumed them, in microseconds} The other half of the limit is left for engines
     * that do not answer.
     */
    public long idleMicros() {
        return limitMicros / SETTLE_DIVISOR;
    }

    /**
     * {@return the time within which the delivery of a written attempt has to be confirmed, in
     * microseconds} Until then the attempt postpones the release of what it is to consume, but not
     * beyond {@link #latestStartMicros()}.
     */
    public long confirmationMicros() {
        return limitMicros / CONFIRMATION_DIVISOR;
    }

    /**
     * {@return the longest time after a request's last outcome until the release of its
     * reservations starts, in microseconds} It does not apply once the delivery of the attempt that
     * consumes them is confirmed.
     */
    public long latestStartMicros() {
        return limitMicros * LATEST_START_PERCENT / PERCENT;
    }

    /**
     * {@return how long the possible holds of an unanswered attempt are released repeatedly after
     * its engine has responded again, in microseconds} The attempt may be queued there, and its own
     * connection may be silent for longer than others.
     */
    public long lateArrivalMicros() {
        return limitMicros * LATE_ARRIVAL_FACTOR;
    }

    /**
     * {@return how long the possible holds of an unanswered attempt are released repeatedly while
     * its engine does not respond, in microseconds} By then, whatever the engine had started before
     * it fell silent has ended. The holds are released again when the engine responds, however
     * late.
     */
    public long silentEngineMicros() {
        return limitMicros * SILENT_ENGINE_FACTOR;
    }

    /**
     * {@return how long the possible holds of an unanswered attempt are released repeatedly after
     * its engine has left the endpoint list, in microseconds} A stopped engine may be removed from
     * the list and later continue with the requests that it has.
     */
    public long removedEngineMicros() {
        return limitMicros * REMOVED_ENGINE_FACTOR;
    }

    /**
     * {@return how long an attempt that has ended for the router may still run at its engine, in
     * microseconds} It is cancelled at once, but a release uses another connection and may overtake
     * the cancellation.
     */
    public long settleMicros() {
        return limitMicros / SETTLE_DIVISOR;
    }

    /**
     * {@return how long to wait for one engine's answer before another engine is called as well, in
     * microseconds}
     */
    public long retryMicros() {
        return limitMicros / RETRY_DIVISOR;
    }

    /**
     * {@return how long before the limit a release has arrived if one of three called engines can
     * perform it, in microseconds}
     */
    public long safetyMarginMicros() {
        return limitMicros / SAFETY_MARGIN_DIVISOR;
    }

    /**
     * {@return the interval at which a hold that is not settled is released again, in microseconds}
     * Whatever is reserved just after one release is released by the next one within the limit.
     */
    public long renewMicros() {
        return limitMicros - safetyMarginMicros();
    }

    /**
     * {@return how long a release is tried before it is reported as expired, in microseconds} If
     * only the holder can release the reservation, it is then forgotten; if any engine can, the
     * release is retried at this interval, as engines may return.
     */
    public long expiryMicros() {
        return limitMicros * EXPIRY_FACTOR;
    }
}
