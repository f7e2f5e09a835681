package sorrelhoist.protocol.statetransfer;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * A router that has started asks a running one for what it knows.
 *
 * @param recipient name of the router that asks
 * @param donor name of the router that is asked
 * @param exchangeId the exchange's number, never used again
 * @param digest of the keys that the recipient has
 * @param keyId name of the key that signed
 * @param mac HMAC-SHA256
 */
public record SnapshotRequest(
        @ProtoField(1) String recipient,
        @ProtoField(2) String donor,
        @ProtoField(3) long exchangeId,
        @ProtoField(4) byte[] digest,
        @ProtoField(5) String keyId,
        @ProtoField(6) byte[] mac) {
    static final MessageSchema<SnapshotRequest> SCHEMA = MessageSchema.of(SnapshotRequest.class);

    /** {@return the message in these bytes} */
    public static SnapshotRequest parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
