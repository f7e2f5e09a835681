package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * An engine's load at the time of the report.
 *
 * @param memoryUtilization fraction of memory in use, 0 to 1
 * @param queuedTokens prompt tokens waiting to be read or fetched
 * @param inFlightRequests requests at the engine, including queued ones
 * @param queuedRequests requests waiting to be processed
 */
public record LoadReport(
        @ProtoField(1) double memoryUtilization,
        @ProtoField(2) double queuedTokens,
        @ProtoField(3) double inFlightRequests,
        @ProtoField(4) double queuedRequests) {
    static final MessageSchema<LoadReport> SCHEMA = MessageSchema.of(LoadReport.class);

    /** {@return the message decoded from {@code bytes}} */
    public static LoadReport parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
