package sorrelhoist.protocol.statetransfer;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * A request from a router that has just started to a running router for a snapshot of its
 * knowledge.
 *
 * @param recipient name of the requesting router
 * @param donor name of the router that sends the snapshot
 * @param exchangeId number of the exchange, which the recipient never reuses
 * @param digest digest of the keys that the recipient already has
 * @param keyId name of the key that the MAC was computed with
 * @param mac the HMAC-SHA256 of the request; see know.proto for its input
 */
public record SnapshotRequest(
        @ProtoField(1) String recipient,
        @ProtoField(2) String donor,
        @ProtoField(3) long exchangeId,
        @ProtoField(4) byte[] digest,
        @ProtoField(5) String keyId,
        @ProtoField(6) byte[] mac) {
    static final MessageSchema<SnapshotRequest> SCHEMA = MessageSchema.of(SnapshotRequest.class);

    /** {@return the message decoded from {@code bytes}} */
    public static SnapshotRequest parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
