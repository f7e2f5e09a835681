package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * A message from another router, relayed by the planner.
 *
 * @param sender replica index of the sending router
 * @param body the message
 */
public record PeerMessage(@ProtoField(1) int sender, @ProtoField(2) String body) {
    static final MessageSchema<PeerMessage> SCHEMA = MessageSchema.of(PeerMessage.class);

    /** {@return the message decoded from {@code bytes}} */
    public static PeerMessage parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
