package sorrelhoist.core.delivery;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One engine of which a sign of life is waited for, and the question that it was asked because of
 * it.
 *
 * @param <A> names an attempt
 */
final class EngineWatch<A> {
    private static final long NEVER = Long.MAX_VALUE;

    /** Attempts that nothing confirms yet. */
    final Map<A, AttemptDelivery> attempts = new LinkedHashMap<>();

    private long awaitedSince = NEVER;
    private boolean questionOpen;
    private long questionAskedAt;

    /** When the first question was asked that is not answered. */
    private long unansweredSince = NEVER;

    private int questionsUnanswered;

    /** Its next sign of life matters, whatever becomes of attempts. */
    void await(long now) {
        awaitedSince = now;
    }

    void awaitNoLonger() {
        awaitedSince = NEVER;
    }

    boolean isAwaited() {
        return awaitedSince != NEVER;
    }

    /** {@return whether anything waits for a sign of life} */
    boolean isNeeded() {
        return isAwaited() || !attempts.isEmpty();
    }

    boolean isRemovable() {
        return !isNeeded() && !questionOpen;
    }

    /** {@return whether a question may be asked now, which is then open} */
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

    /** {@return whether it was asked by then for a sign of life and has given none since} */
    boolean isSilentSince(long askedBy) {
        return unansweredSince <= askedBy;
    }

    /** There is no question that could be asked, so its silence says nothing. */
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
     * It gave a sign of life. {@return whether that was the awaited one}
     *
     * @param ranAfter it ran after this time
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
