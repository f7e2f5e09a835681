package sorrelhoist.core.request;

/**
 * How long a stream may be silent before its engine is considered dead. An engine that is slow, but
 * still sends, must not be taken for a dead one. A client must not wait for a dead one for more
 * than five seconds after its latest event.
 *
 * @param eventMicros how long the next complete event may take, in microseconds; 0 to derive the
 *     time from the observed gaps between tokens
 * @param partialEventMicros how long the next bytes of an event that takes longer than {@code
 *     eventMicros} may take, in microseconds
 */
public record SilenceLimits(long eventMicros, long partialEventMicros) {
    /** Limits that are derived from the observed gaps between tokens. */
    static final SilenceLimits FROM_TOKEN_GAPS = new SilenceLimits(0, 0);

    /** The difference to five seconds is for delays between the engine and the client. */
    private static final long EVENT_MICROS = 4_600_000;

    /** A broken stream costs little if its client reconnects, and waiting costs as much as ever. */
    private static final long RESUMABLE_EVENT_MICROS = 2_000_000;

    private static final long PARTIAL_EVENT_MICROS = 2_000_000;

    /**
     * {@return the limits for streams of opaque events}
     *
     * @param clientsResume whether clients reconnect by themselves for the rest of a stream that
     *     ended early
     */
    public static SilenceLimits ofOpaqueEvents(boolean clientsResume) {
        return new SilenceLimits(
                clientsResume ? RESUMABLE_EVENT_MICROS : EVENT_MICROS, PARTIAL_EVENT_MICROS);
    }

    boolean areFromTokenGaps() {
        return eventMicros == 0;
    }
}
