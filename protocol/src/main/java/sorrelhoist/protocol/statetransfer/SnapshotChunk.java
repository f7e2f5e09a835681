package sorrelhoist.protocol.statetransfer;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * A part of a snapshot.
 *
 * @param index its place in the snapshot, from 0
 * @param payload part of the snapshot
 * @param last whether nothing follows
 * @param keyId name of the key that signed
 * @param mac HMAC-SHA256
 */
public record SnapshotChunk(
        @ProtoField(1) int index,
        @ProtoField(2) byte[] payload,
        @ProtoField(3) boolean last,
        @ProtoField(4) String keyId,
        @ProtoField(5) byte[] mac) {
    static final MessageSchema<SnapshotChunk> SCHEMA = MessageSchema.of(SnapshotChunk.class);

    /** {@return the message in these bytes} */
    public static SnapshotChunk parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
