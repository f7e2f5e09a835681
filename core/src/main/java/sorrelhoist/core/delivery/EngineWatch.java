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
    private boolean livenessCheckOpen;
    private long livenessCheckSentAt;

    /** Send time of the earliest unanswered liveness check. */
    private long unansweredSince = NEVER;

    private int unansweredLivenessChecks;

    /** Waits for the next response of the engine, even if no attempt is left. */
    void awaitResponse(long now) {
        awaitedSince = now;
    }

    void stopAwaiting() {
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
        return !isNeeded() && !livenessCheckOpen;
    }

    /**
     * Opens a liveness check.
     *
     * @return whether it may be sent; false if another one is still open
     */
    boolean openLivenessCheck(long now) {
        if (livenessCheckOpen) {
            return false;
        }
        livenessCheckOpen = true;
        livenessCheckSentAt = now;
        unansweredSince = Math.min(unansweredSince, now);
        unansweredLivenessChecks++;
        return true;
    }

    /**
     * {@return whether a liveness check was sent at or before {@code askedBy} and the engine has
     * not responded since}
     */
    boolean isSilentSince(long sentBy) {
        return unansweredSince <= sentBy;
    }

    /**
     * Undoes the start of the silence if the open liveness check, which could not be sent, was the
     * first unanswered one.
     */
    void livenessCheckNotSent() {
        if (unansweredSince == livenessCheckSentAt) {
            unansweredSince = NEVER;
        }
    }

    long livenessCheckSentAt() {
        return livenessCheckSentAt;
    }

    boolean isLivenessCheckOpen() {
        return livenessCheckOpen;
    }

    void closeLivenessCheck() {
        livenessCheckOpen = false;
    }

    int unansweredLivenessChecks() {
        return unansweredLivenessChecks;
    }

    /**
     * Records a response of the engine.
     *
     * @param runningAfter a time after which the engine was running, in microseconds
     * @return whether it is the awaited response
     */
    boolean responseReceived(long runningAfter) {
        if (runningAfter >= livenessCheckSentAt) {
            unansweredLivenessChecks = 0;
            unansweredSince = NEVER;
        }
        boolean awaited = runningAfter >= awaitedSince;
        if (awaited) {
            stopAwaiting();
        }
        return awaited;
    }
}
