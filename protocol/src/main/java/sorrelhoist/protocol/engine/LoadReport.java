package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * An engine's load.
 *
 * @param memoryUtilization share of memory in use, 0 to 1
 * @param queuedTokens tokens that wait to be read or fetched
 * @param inFlightRequests requests at the engine, queued ones too
 * @param queuedRequests requests that wait
 */
public record LoadReport(
        @ProtoField(1) double memoryUtilization,
        @ProtoField(2) double queuedTokens,
        @ProtoField(3) double inFlightRequests,
        @ProtoField(4) double queuedRequests) {
    static final MessageSchema<LoadReport> SCHEMA = MessageSchema.of(LoadReport.class);

    /** {@return the message in these bytes} */
    public static LoadReport parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
