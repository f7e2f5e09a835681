package sorrelhoist.protocol.plan;

import java.util.List;
import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * The other routers that are attached to the planner.
 *
 * @param peers the complete list
 */
public record PeerList(@ProtoField(1) List<Peer> peers) {
    static final MessageSchema<PeerList> SCHEMA = MessageSchema.of(PeerList.class);

    /** {@return the message decoded from {@code bytes}} */
    public static PeerList parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
