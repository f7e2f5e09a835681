package sorrelhoist.core.request;

/**
 * What a deployment settles of an answer after its first token, and whose words its events are in.
 *
 * @param opaqueEvents whether answers are events of their engine, passed on as they are and not
 *     counted against the most tokens, and requests keep their client's name at engines
 * @param endAtClientDeadline whether the client's time also ends a stream that has begun
 * @param silenceTimeoutMicros how long a stream may be silent; 0 to judge by the gaps that were
 *     seen ({@link Liveness})
 * @param clientsResume whether a client comes again by itself for the rest of a stream that ended
 *     early
 */
public record StreamSettings(
        boolean opaqueEvents,
        boolean endAtClientDeadline,
        long silenceTimeoutMicros,
        boolean clientsResume) {
    /**
     * Streams of tokens that end with their client's time, with silence judged by what was seen.
     */
    public static final StreamSettings TOKEN_STREAMS = new StreamSettings(false, true, 0, false);
}
