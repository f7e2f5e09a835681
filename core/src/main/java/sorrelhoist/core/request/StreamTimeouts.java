package sorrelhoist.core.request;

/** Determines how long a stream may be silent before it is considered dead. */
final class StreamTimeouts {
    private final StreamSettings settings;
    private final TokenGapEstimator tokenGaps;

    StreamTimeouts(StreamSettings settings, int engineKinds) {
        this.settings = settings;
        this.tokenGaps = new TokenGapEstimator(engineKinds);
    }

    /** Records the gap between a token and the one before it. */
    void tokenReceived(Attempt attempt, long now) {
        tokenGaps.record(attempt.engineKind, now - attempt.lastTokenAt);
    }

    /**
     * {@return when a stream is considered dead unless a token is received before; Long.MAX_VALUE
     * while its client is not reading}
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
     * {@return when to check a stream again} Timeouts may shrink as more gaps are observed, so the
     * interval is at most the shortest possible timeout.
     */
    long nextCheckAt(Attempt attempt, long now) {
        return Math.min(deadAt(attempt), now + TokenGapEstimator.MIN_TIMEOUT_MICROS);
    }
}
