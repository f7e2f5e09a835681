package sorrelhoist.core.request;

/**
 * How a deployment treats an answer after its first token.
 *
 * @param opaqueEvents whether answers are events of their engine, passed on as they are and not
 *     counted against the token limit, and requests keep their client's name at engines
 * @param endAtClientDeadline whether the client's deadline also ends a stream that has begun
 * @param resumeBrokenStreams whether the router resumes a broken stream at another engine, where
 *     its class is idempotent
 * @param clientsResume whether clients come again by themselves for the rest of a stream that ended
 *     early
 * @param silenceTimeoutMicros how long a stream may be silent, in microseconds; 0 to judge by the
 *     gaps between tokens that were seen
 * @param clientStallTimeoutMicros how long a client may take nothing of a running answer, in
 *     microseconds
 */
public record StreamSettings(
        boolean opaqueEvents,
        boolean endAtClientDeadline,
        boolean resumeBrokenStreams,
        boolean clientsResume,
        long silenceTimeoutMicros,
        long clientStallTimeoutMicros) {
    /**
     * {@return settings for streams of tokens} They end at their client's deadline, and their
     * silence is judged by the gaps that were seen.
     */
    public static StreamSettings ofTokens(
            boolean resumeBrokenStreams, long clientStallTimeoutMicros) {
        return new StreamSettings(
                false, true, resumeBrokenStreams, false, 0, clientStallTimeoutMicros);
    }

    /** {@return settings for streams of opaque events, which the router itself does not resume} */
    public static StreamSettings ofOpaqueEvents(
            boolean clientsResume, long silenceTimeoutMicros, long clientStallTimeoutMicros) {
        return new StreamSettings(
                true, false, false, clientsResume, silenceTimeoutMicros, clientStallTimeoutMicros);
    }
}
