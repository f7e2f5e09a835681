package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * How a health check of an engine ended.
 *
 * @param engine the engine's name
 * @param answered whether an answer came
 * @param latencyMicros microseconds until it came
 * @param memoryUtilization share of memory in use, 0 to 1
 * @param queuedTokens tokens that wait to be read or fetched
 * @param inFlightRequests requests at the engine, queued ones too
 * @param queuedRequests requests that wait
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

    /** {@return the message in these bytes} */
    public static ProbeResult parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
