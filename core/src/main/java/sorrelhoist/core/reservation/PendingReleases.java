package sorrelhoist.core.reservation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The calls that release one reservation: which are under way, and when the next may be made. */
final class PendingReleases {
    /** Calls that follow each other at the retry interval; then each wait doubles. */
    private static final int CALLS_BEFORE_BACKOFF = 4;

    /** A release that was sent and not answered. */
    static final class Call {
        final long madeAt;

        /** Whether a decode was with an engine since the call was made. */
        private boolean decodeWasOut;

        private Call(long madeAt, boolean decodeWasOut) {
            this.madeAt = madeAt;
            this.decodeWasOut = decodeWasOut;
        }

        boolean decodeWasOut() {
            return decodeWasOut;
        }
    }

    private final ReleasePolicy policy;
    private final Map<Long, Call> calls = new HashMap<>();
    private final Set<String> asked = new HashSet<>();
    private long callableFrom;
    private long expiresAt = Long.MAX_VALUE;
    private int callsMade;
    private int callsMadeInAll;
    private String lastAsked = "";
    private boolean expired;

    PendingReleases(ReleasePolicy policy) {
        this.policy = policy;
    }

    /** {@return when the next call or the expiry is due, where releases may begin at a time} */
    long due(long releasableFrom) {
        return releasableFrom == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : Math.min(expiresAt, Math.max(callableFrom, releasableFrom));
    }

    /** The next call is made no later than then, as far as calls go. */
    void callBy(long time) {
        callableFrom = Math.min(callableFrom, time);
    }

    /** The next call is made no earlier than then. */
    void callFrom(long time) {
        callableFrom = time;
    }

    /** A call was made. */
    void made(long call, String engine, boolean decodeIsOut, long now) {
        calls.put(call, new Call(now, decodeIsOut));
        asked.add(engine);
        lastAsked = engine;
        callsMade++;
        callsMadeInAll++;
        waitForAnswer(now);
    }

    /** No engine can be asked now. */
    void waitForAnswer(long now) {
        if (expired) {
            callableFrom = now + policy.expiryMicros();
            return;
        }
        // The first few follow each other quickly, as the limit runs; after that it is too late for
        // haste.
        callableFrom =
                now + (policy.retryMicros() << Math.max(0, callsMade - CALLS_BEFORE_BACKOFF));
        expiresAt = expiresAt == Long.MAX_VALUE ? now + policy.expiryMicros() : expiresAt;
    }

    /** A decode may be with an engine now: calls that are on their way may arrive after it. */
    void decodeIsOut() {
        calls.values().forEach(call -> call.decodeWasOut = true);
    }

    /** A call was answered. {@return it, or null where it is not waited for} */
    Call answered(long call) {
        Call answered = calls.remove(call);
        expired &= answered == null;
        return answered;
    }

    /**
     * A call ended without an answer: another engine is asked, the first few at once.
     *
     * @return whether it was waited for
     */
    boolean failed(long call, boolean others, long now) {
        if (calls.remove(call) == null) {
            return false;
        }
        if (others && callsMade < CALLS_BEFORE_BACKOFF) {
            callableFrom = now;
        }
        return true;
    }

    /** {@return whether no call is waited for} */
    boolean isEmpty() {
        return calls.isEmpty();
    }

    /** Waits for no call any more. {@return those that were waited for} */
    List<Long> abandon() {
        List<Long> abandoned = List.copyOf(calls.keySet());
        calls.clear();
        restart();
        return abandoned;
    }

    /** An engine has answered: the next calls are the first ones again. */
    void restart() {
        asked.clear();
        expiresAt = Long.MAX_VALUE;
        callsMade = 0;
    }

    boolean isExpired(long now) {
        return now >= expiresAt;
    }

    /** No engine has answered in time. It is still tried, now and then, as engines return. */
    void expire(long now) {
        expired = true;
        expiresAt = Long.MAX_VALUE;
        callableFrom = now + policy.expiryMicros();
    }

    boolean hasExpired() {
        return expired;
    }

    /** {@return engines that need not be asked again soon} */
    Set<String> asked() {
        return asked;
    }

    void forgetAsked() {
        asked.clear();
    }

    /** {@return calls since an engine answered last} */
    int callsMade() {
        return callsMade;
    }

    int callsMadeInAll() {
        return callsMadeInAll;
    }

    /** {@return the engine that was asked last, or empty} */
    String lastAsked() {
        return lastAsked;
    }
}
