package sorrelhoist.core.request;

/** How long a stream may be silent before it counts as dead. */
final class StreamTimeouts {
    private final StreamSettings settings;
    private final TokenGapEstimator tokenGaps;

    StreamTimeouts(StreamSettings settings, int engineKinds) {
        this.settings = settings;
        this.tokenGaps = new TokenGapEstimator(engineKinds);
    }

    /** A token came on a stream that had begun. */
    void tokenReceived(Attempt attempt, long now) {
        tokenGaps.record(attempt.engineKind, now - attempt.lastTokenAt);
    }

    /**
     * {@return when a stream counts as dead if nothing comes before; never while its client holds
     * it back}
     */
    long deadAt(Attempt attempt) {
        if (attempt.request.blockedSince > 0) {
            return Long.MAX_VALUE;
        }
        long fixed = settings.silenceTimeoutMicros();
        long timeout = fixed > 0 ? fixed : tokenGaps.silenceTimeoutMicros(attempt.engineKind);
        return attempt.lastTokenAt + timeout;
    }

    /**
     * {@return when to check a stream again: timeouts shrink as streams are seen, so at least as
     * often as the shortest}
     */
    long nextCheckAt(Attempt attempt, long now) {
        return Math.min(deadAt(attempt), now + TokenGapEstimator.MIN_TIMEOUT_MICROS);
    }
}
