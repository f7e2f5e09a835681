package sorrelhoist.core.delivery;

/**
 * How long attempts may go unconfirmed. All times are shares of the limit within which what is held
 * for a request has to be taken or released: an attempt that did not arrive does not stop that
 * clock, so another engine has to be sent the request, or the release begun, well within it.
 *
 * <p>Counted from the moment in which the hold began to wait: a quarter for the ordinary answer,
 * then the engine is asked for a sign of life, and two fifths in all until the attempt is taken for
 * undelivered. A second attempt then has until three fifths; the rest is for the release, which up
 * to three engines may be asked for.
 *
 * @param limitMicros the limit, in microseconds
 */
public record DeliveryPolicy(long limitMicros) {
    private static final int SHARES = 20;
    private static final int ASK_SHARES = 5;
    private static final int CONFIRM_SHARES = 8;
    private static final int ANSWER_SHARES = 3;
    private static final int ATTEMPT_SHARES = 4;
    private static final int QUESTION_FACTOR = 2;

    /** The shares of a shorter limit would be within what a turn of the router takes. */
    private static final long MIN_LIMIT_MICROS = 20_000;

    private static final long MAX_LIMIT_MICROS = 3_600_000_000L;

    /** Takes a limit that is not sensible for the nearest that is. */
    public DeliveryPolicy {
        limitMicros = Math.min(MAX_LIMIT_MICROS, Math.max(MIN_LIMIT_MICROS, limitMicros));
    }

    private long shares(int number) {
        return limitMicros * number / SHARES;
    }

    /** {@return after which an engine is asked for a sign of life} */
    public long askAfterMicros() {
        return shares(ASK_SHARES);
    }

    /** {@return after which an attempt is taken for undelivered} */
    public long confirmAfterMicros() {
        return shares(CONFIRM_SHARES);
    }

    /** {@return how long an engine has to answer a question before its silence says anything} */
    public long answerMicros() {
        return shares(ANSWER_SHARES);
    }

    /** {@return how long each attempt has, however late it was sent} */
    public long attemptMicros() {
        return shares(ATTEMPT_SHARES);
    }

    /** {@return how long the answer to a question is waited for} */
    public long questionTimeoutMicros() {
        return QUESTION_FACTOR * limitMicros;
    }
}
