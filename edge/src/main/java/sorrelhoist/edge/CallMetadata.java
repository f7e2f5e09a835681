package sorrelhoist.edge;

import sorrelhoist.protocol.grpc.GrpcTimeout;
import sorrelhoist.protocol.hpack.Headers;

/** The gRPC metadata of calls to engines, and what is read of a client's. */
final class CallMetadata {
    /** How often the client's library has tried before. */
    static final String PREVIOUS_ATTEMPTS = "grpc-previous-rpc-attempts";

    /** When the client may retry, in milliseconds. */
    static final String RETRY_PUSHBACK_MILLIS = "grpc-retry-pushback-ms";

    private static final String TIMEOUT = "grpc-timeout";
    private static final long MAX_TIMEOUT_MICROS = 3_600_000_000L;
    private static final long MIN_TIMEOUT_MICROS = 1;

    private CallMetadata() {}

    /**
     * {@return the metadata of a call that has to end by a deadline}
     *
     * @param deadlineMicros the deadline; Long.MAX_VALUE for none
     * @param nowMicros the time on the same clock
     */
    static Headers withDeadline(long deadlineMicros, long nowMicros) {
        long timeoutMicros =
                deadlineMicros == Long.MAX_VALUE
                        ? MAX_TIMEOUT_MICROS
                        : Math.max(MIN_TIMEOUT_MICROS, deadlineMicros - nowMicros);
        return new Headers().add(TIMEOUT, GrpcTimeout.format(timeoutMicros));
    }
}
