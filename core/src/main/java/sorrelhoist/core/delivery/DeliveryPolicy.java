package sorrelhoist.core.delivery;

/**
 * Times within which the delivery of attempts has to be confirmed. All are fractions of the limit
 * within which the holds of a request have to be consumed or released. An attempt that did not
 * arrive does not extend the limit, so the request has to be sent to another engine, or the release
 * begun, well within it.
 *
 * <p>Counted from the moment at which the hold began to wait: a quarter of the limit for the
 * ordinary answer, after which the engine is sent a liveness check; two fifths until the attempt
 * counts as undelivered. A second attempt then has until three fifths; the rest is left for the
 * release, for which up to three engines may be called.
 *
 * @param limitMicros the limit, in microseconds
 */
public record DeliveryPolicy(long limitMicros) {
    /** The number of equal shares of the limit in which the other constants count. */
    private static final int SHARES = 20;

    private static final int LIVENESS_CHECK_SHARES = 5;
    private static final int CONFIRM_SHARES = 8;
    private static final int LIVENESS_RESPONSE_SHARES = 3;
    private static final int ATTEMPT_SHARES = 4;
    private static final int LIVENESS_CHECK_TIMEOUT_FACTOR = 2;

    /** The fractions of a shorter limit would be shorter than an iteration of the event loop. */
    private static final long MIN_LIMIT_MICROS = 20_000;

    private static final long MAX_LIMIT_MICROS = 3_600_000_000L;

    /** Clamps the limit to the supported range. */
    public DeliveryPolicy {
        limitMicros = Math.min(MAX_LIMIT_MICROS, Math.max(MIN_LIMIT_MICROS, limitMicros));
    }

    private long shares(int number) {
        return limitMicros * number / SHARES;
    }

    /** {@return the time after which an engine is sent a liveness check, in microseconds} */
    public long livenessCheckAfterMicros() {
        return shares(LIVENESS_CHECK_SHARES);
    }

    /** {@return the time after which an attempt counts as undelivered, in microseconds} */
    public long confirmAfterMicros() {
        return shares(CONFIRM_SHARES);
    }

    /**
     * {@return how long an engine has to answer a liveness check before it counts as silent, in
     * microseconds}
     */
    public long livenessResponseMicros() {
        return shares(LIVENESS_RESPONSE_SHARES);
    }

    /**
     * {@return the minimum time each attempt has to be confirmed, however late it was sent, in
     * microseconds}
     */
    public long minAttemptMicros() {
        return shares(ATTEMPT_SHARES);
    }

    /** {@return the timeout of a liveness check, in microseconds} */
    public long livenessCheckTimeoutMicros() {
        return LIVENESS_CHECK_TIMEOUT_FACTOR * limitMicros;
    }
}
