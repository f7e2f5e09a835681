package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * The answer to a release.
 *
 * @param released whether there was anything to release
 */
public record ReleaseReply(@ProtoField(1) boolean released) {
    static final MessageSchema<ReleaseReply> SCHEMA = MessageSchema.of(ReleaseReply.class);

    /** {@return the message in these bytes} */
    public static ReleaseReply parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
