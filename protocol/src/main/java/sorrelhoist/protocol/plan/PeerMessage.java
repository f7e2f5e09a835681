package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * Another router's message.
 *
 * @param sender the sender's replica number
 * @param body the message
 */
public record PeerMessage(@ProtoField(1) int sender, @ProtoField(2) String body) {
    static final MessageSchema<PeerMessage> SCHEMA = MessageSchema.of(PeerMessage.class);

    /** {@return the message in these bytes} */
    public static PeerMessage parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
