package sorrelhoist.core.delivery;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Watches one engine whose response is needed, and tracks its liveness checks.
 *
 * @param <A> identifies an attempt
 */
final class EngineWatch<A> {
    private static final long NEVER = Long.MAX_VALUE;

    /** Attempts whose delivery is not confirmed yet. */
    final Map<A, AttemptDelivery> attempts = new LinkedHashMap<>();

    private long awaitedSince = NEVER;
    private boolean questionOpen;
    private long questionAskedAt;

    /** Send time of the earliest unanswered liveness check. */
    private long unansweredSince = NEVER;

    private int questionsUnanswered;

    /** Waits for the next response of the engine, even if no attempt is left. */
    void await(long now) {
        awaitedSince = now;
    }

    void awaitNoLonger() {
        awaitedSince = NEVER;
    }

    boolean isAwaited() {
        return awaitedSince != NEVER;
    }

    /** {@return whether a response of the engine is needed} */
    boolean isNeeded() {
        return isAwaited() || !attempts.isEmpty();
    }

    boolean isRemovable() {
        return !isNeeded() && !questionOpen;
    }

    /**
     * Opens a liveness check.
     *
     * @return whether it may be sent; false if another one is still open
     */
    boolean openQuestion(long now) {
        if (questionOpen) {
            return false;
        }
        questionOpen = true;
        questionAskedAt = now;
        unansweredSince = Math.min(unansweredSince, now);
        questionsUnanswered++;
        return true;
    }

    /**
     * {@return whether a liveness check was sent at or before {@code askedBy} and the engine has
     * not responded since}
     */
    boolean isSilentSince(long askedBy) {
        return unansweredSince <= askedBy;
    }

    /**
     * Undoes the start of the silence if the open liveness check, which could not be sent, was the
     * first unanswered one.
     */
    void questionNotAsked() {
        if (unansweredSince == questionAskedAt) {
            unansweredSince = NEVER;
        }
    }

    long questionAskedAt() {
        return questionAskedAt;
    }

    boolean isQuestionOpen() {
        return questionOpen;
    }

    void closeQuestion() {
        questionOpen = false;
    }

    int questionsUnanswered() {
        return questionsUnanswered;
    }

    /**
     * Records a response of the engine.
     *
     * @param ranAfter a time after which the engine was running, in microseconds
     * @return whether it is the awaited response
     */
    boolean heard(long ranAfter) {
        if (ranAfter >= questionAskedAt) {
            questionsUnanswered = 0;
            unansweredSince = NEVER;
        }
        boolean awaited = ranAfter >= awaitedSince;
        if (awaited) {
            awaitNoLonger();
        }
        return awaited;
    }
}
