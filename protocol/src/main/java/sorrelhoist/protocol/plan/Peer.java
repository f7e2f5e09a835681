package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * Another router that is attached to the planner.
 *
 * @param edge the router's name
 * @param zone the router's zone
 * @param address address at which peers connect to the router
 */
public record Peer(
        @ProtoField(1) String edge, @ProtoField(2) String zone, @ProtoField(3) String address) {
    static final MessageSchema<Peer> SCHEMA = MessageSchema.of(Peer.class);

    /** {@return the message decoded from {@code bytes}} */
    public static Peer parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
