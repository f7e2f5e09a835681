package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * The result of a health check of an engine.
 *
 * @param engine the engine's name
 * @param answered whether the engine answered
 * @param latencyMicros time until the answer arrived, in microseconds
 * @param memoryUtilization fraction of memory in use, 0 to 1
 * @param queuedTokens prompt tokens waiting to be read or fetched
 * @param inFlightRequests requests at the engine, including queued ones
 * @param queuedRequests requests waiting to be processed
 */
public record ProbeResult(
        @ProtoField(1) String engine,
        @ProtoField(2) boolean answered,
        @ProtoField(3) long latencyMicros,
        @ProtoField(4) double memoryUtilization,
        @ProtoField(5) double queuedTokens,
        @ProtoField(6) double inFlightRequests,
        @ProtoField(7) double queuedRequests) {
    static final MessageSchema<ProbeResult> SCHEMA = MessageSchema.of(ProbeResult.class);

    /** {@return the message decoded from {@code bytes}} */
    public static ProbeResult parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
