package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * The reply to a release request.
 *
 * @param released whether the engine held anything that the request named
 */
public record ReleaseReply(@ProtoField(1) boolean released) {
    static final MessageSchema<ReleaseReply> SCHEMA = MessageSchema.of(ReleaseReply.class);

    /** {@return the message decoded from {@code bytes}} */
    public static ReleaseReply parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
