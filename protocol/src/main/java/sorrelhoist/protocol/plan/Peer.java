package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * Another router.
 *
 * @param edge its name
 * @param zone its zone
 * @param address where it is reached
 */
public record Peer(
        @ProtoField(1) String edge, @ProtoField(2) String zone, @ProtoField(3) String address) {
    static final MessageSchema<Peer> SCHEMA = MessageSchema.of(Peer.class);

    /** {@return the message in these bytes} */
    public static Peer parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
