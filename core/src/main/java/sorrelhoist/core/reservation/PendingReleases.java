package sorrelhoist.core.reservation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The release calls of one reservation: the calls in flight, and when the next one may be sent. */
final class PendingReleases {
    /** Number of calls sent at the retry interval; after them each wait doubles. */
    private static final int CALLS_BEFORE_BACKOFF = 4;

    /** A release call that was sent and not answered. */
    static final class Call {
        final long sentAt;

        /** Whether a decode was in flight at any time since the call was sent. */
        private boolean decodeWasInFlight;

        private Call(long sentAt, boolean decodeWasInFlight) {
            this.sentAt = sentAt;
            this.decodeWasInFlight = decodeWasInFlight;
        }

        boolean decodeWasInFlight() {
            return decodeWasInFlight;
        }
    }

    private final ReleasePolicy policy;
    private final Map<Long, Call> calls = new HashMap<>();
    private final Set<String> calledEngines = new HashSet<>();
    private long nextCallFrom;
    private long expiresAt = Long.MAX_VALUE;
    private int callsSinceAnswer;
    private int totalCalls;
    private String lastCalledEngine = "";
    private boolean expired;

    PendingReleases(ReleasePolicy policy) {
        this.policy = policy;
    }

    /**
     * {@return when the next call or the expiry is due, in microseconds}
     *
     * @param releasableFrom when releases may begin; Long.MAX_VALUE for never
     */
    long due(long releasableFrom) {
        return releasableFrom == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : Math.min(expiresAt, Math.max(nextCallFrom, releasableFrom));
    }

    /** Allows the next call no later than {@code time}. */
    void allowCallBy(long time) {
        nextCallFrom = Math.min(nextCallFrom, time);
    }

    /** Allows the next call no earlier than {@code time}. */
    void allowCallFrom(long time) {
        nextCallFrom = time;
    }

    /** Records that a call was sent. */
    void callSent(long call, String engine, boolean decodeInFlight, long now) {
        calls.put(call, new Call(now, decodeInFlight));
        calledEngines.add(engine);
        lastCalledEngine = engine;
        callsSinceAnswer++;
        totalCalls++;
        scheduleNextCall(now);
    }

    /**
     * Postpones the next call by the retry interval, which doubles after the first calls, or by the
     * expiry interval if the release has expired. A release that has not expired does so after the
     * expiry interval, counted from the first call.
     */
    void scheduleNextCall(long now) {
        if (expired) {
            nextCallFrom = now + policy.expiryMicros();
            return;
        }
        // The first calls use the plain retry interval, as one of them has to arrive within the
        // limit. Later calls are too late for that, so their interval doubles.
        nextCallFrom =
                now
                        + (policy.retryMicros()
                                << Math.max(0, callsSinceAnswer - CALLS_BEFORE_BACKOFF));
        expiresAt = expiresAt == Long.MAX_VALUE ? now + policy.expiryMicros() : expiresAt;
    }

    /** Marks the calls in flight, which may arrive after a decode that is in flight now. */
    void markDecodeInFlight() {
        calls.values().forEach(call -> call.decodeWasInFlight = true);
    }

    /**
     * Records an answer.
     *
     * @return the answered call, or null if it was not in flight
     */
    Call callAnswered(long call) {
        Call answered = calls.remove(call);
        expired &= answered == null;
        return answered;
    }

    /**
     * Records a failed call. Another engine is called at once for the first few failures.
     *
     * @param canCallOthers whether another engine can be called instead
     * @return whether the call was in flight
     */
    boolean callFailed(long call, boolean canCallOthers, long now) {
        if (calls.remove(call) == null) {
            return false;
        }
        if (canCallOthers && callsSinceAnswer < CALLS_BEFORE_BACKOFF) {
            nextCallFrom = now;
        }
        return true;
    }

    /** {@return whether no call is in flight} */
    boolean isEmpty() {
        return calls.isEmpty();
    }

    /**
     * Abandons all calls in flight.
     *
     * @return the ids of these calls
     */
    List<Long> abandon() {
        List<Long> abandoned = List.copyOf(calls.keySet());
        calls.clear();
        reset();
        return abandoned;
    }

    /** Resets the set of called engines, the backoff and the expiry time. */
    void reset() {
        calledEngines.clear();
        expiresAt = Long.MAX_VALUE;
        callsSinceAnswer = 0;
    }

    boolean isExpired(long now) {
        return now >= expiresAt;
    }

    /**
     * Records that no engine answered in time. Calls continue at the expiry interval, as engines
     * may return.
     */
    void expire(long now) {
        expired = true;
        expiresAt = Long.MAX_VALUE;
        nextCallFrom = now + policy.expiryMicros();
    }

    boolean hasExpired() {
        return expired;
    }

    /** {@return the engines that were called since the last reset; a live set} */
    Set<String> calledEngines() {
        return calledEngines;
    }

    void clearCalledEngines() {
        calledEngines.clear();
    }

    /** {@return the number of calls since an engine last answered or the calls were abandoned} */
    int callsSinceAnswer() {
        return callsSinceAnswer;
    }

    int totalCalls() {
        return totalCalls;
    }

    /** {@return the engine that was called last; empty if none} */
    String lastCalledEngine() {
        return lastCalledEngine;
    }
}
