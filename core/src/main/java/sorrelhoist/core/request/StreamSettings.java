package sorrelhoist.core.request;

/**
 * Settings for answers after their first token.
 *
 * @param opaqueEvents whether answers consist of engine-specific events that are forwarded
 *     unchanged and do not count towards the token limit; engines then know requests by the
 *     client's request ID
 * @param endAtClientDeadline whether a stream that has begun also ends at the client's deadline
 * @param resumeBrokenStreams whether the router resumes a broken stream at another engine if its
 *     request class is idempotent
 * @param clientsResume whether clients reconnect by themselves for the rest of a stream that ended
 *     early
 * @param silenceLimits how long a stream may be silent before its engine is considered dead
 * @param clientStallTimeoutMicros how long a client may stop reading a running answer before its
 *     request is cancelled, in microseconds
 */
public record StreamSettings(
        boolean opaqueEvents,
        boolean endAtClientDeadline,
        boolean resumeBrokenStreams,
        boolean clientsResume,
        SilenceLimits silenceLimits,
        long clientStallTimeoutMicros) {
    /**
     * {@return settings for streams of tokens} Such streams end at their client's deadline, and
     * their silence timeout is derived from the observed gaps between tokens.
     */
    public static StreamSettings ofTokens(
            boolean resumeBrokenStreams, long clientStallTimeoutMicros) {
        return new StreamSettings(
                false,
                true,
                resumeBrokenStreams,
                false,
                SilenceLimits.FROM_TOKEN_GAPS,
                clientStallTimeoutMicros);
    }

    /**
     * {@return settings for streams of opaque events} The router itself does not resume such
     * streams.
     */
    public static StreamSettings ofOpaqueEvents(
            boolean clientsResume, SilenceLimits silenceLimits, long clientStallTimeoutMicros) {
        return new StreamSettings(
                true, false, false, clientsResume, silenceLimits, clientStallTimeoutMicros);
    }
}
