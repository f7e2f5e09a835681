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
     * {@return when a stream is considered dead unless a token, or a part of an event, is received
     * before; Long.MAX_VALUE while its client is not reading}
     */
    long deadAt(Attempt attempt) {
        if (attempt.request.blockedSince > 0) {
            return Long.MAX_VALUE;
        }
        SilenceLimits limits = settings.silenceLimits();
        if (limits.areFromTokenGaps()) {
            return attempt.lastTokenAt + tokenGaps.silenceTimeoutMicros(attempt.engineKind);
        }
        return Math.max(
                attempt.lastTokenAt + limits.eventMicros(),
                attempt.lastBytesAt + limits.partialEventMicros());
    }

    /**
     * {@return when to check a stream again} Timeouts may shrink as more gaps are observed, so the
     * interval is at most the shortest possible timeout.
     */
    long nextCheckAt(Attempt attempt, long now) {
        return Math.min(deadAt(attempt), now + TokenGapEstimator.MIN_TIMEOUT_MICROS);
    }
}
