package sorrelhoist.edge;

import sorrelhoist.protocol.grpc.GrpcTimeout;
import sorrelhoist.protocol.hpack.Headers;

/** gRPC metadata of calls to engines, and names of the metadata of clients' calls. */
final class CallMetadata {
    /** Number of attempts that the client's gRPC library has made before this one. */
    static final String PREVIOUS_ATTEMPTS = "grpc-previous-rpc-attempts";

    /** Delay after which the client may retry, in milliseconds. */
    static final String RETRY_PUSHBACK_MILLIS = "grpc-retry-pushback-ms";

    private static final String TIMEOUT = "grpc-timeout";
    private static final long MAX_TIMEOUT_MICROS = 3_600_000_000L;
    private static final long MIN_TIMEOUT_MICROS = 1;

    private CallMetadata() {}

    /**
     * Returns the metadata of a call with a deadline. The timeout is at least a microsecond, and an
     * hour if there is no deadline.
     *
     * @param deadlineMicros the deadline, in microseconds; Long.MAX_VALUE for none
     * @param nowMicros the current time of the same clock, in microseconds
     */
    static Headers withDeadline(long deadlineMicros, long nowMicros) {
        long timeoutMicros =
                deadlineMicros == Long.MAX_VALUE
                        ? MAX_TIMEOUT_MICROS
                        : Math.max(MIN_TIMEOUT_MICROS, deadlineMicros - nowMicros);
        return new Headers().add(TIMEOUT, GrpcTimeout.format(timeoutMicros));
    }
}
