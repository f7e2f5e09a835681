package sorrelhoist.protocol.statetransfer;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * One chunk of a snapshot.
 *
 * @param index position in the snapshot, starting at 0
 * @param payload the chunk's bytes of the snapshot
 * @param last whether this is the last chunk
 * @param keyId name of the key that the MAC was computed with
 * @param mac the HMAC-SHA256 of the chunk; see know.proto for its input
 */
public record SnapshotChunk(
        @ProtoField(1) int index,
        @ProtoField(2) byte[] payload,
        @ProtoField(3) boolean last,
        @ProtoField(4) String keyId,
        @ProtoField(5) byte[] mac) {
    static final MessageSchema<SnapshotChunk> SCHEMA = MessageSchema.of(SnapshotChunk.class);

    /** {@return the message decoded from {@code bytes}} */
    public static SnapshotChunk parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
