package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * The identity that a router sends to its planner in its first message.
 *
 * @param edge the router's name
 * @param zone the router's zone
 * @param incarnation a number that increases with every start of the router
 * @param address address at which its peers connect to the router
 */
public record Hello(
        @ProtoField(1) String edge,
        @ProtoField(2) String zone,
        @ProtoField(3) long incarnation,
        @ProtoField(4) String address) {
    static final MessageSchema<Hello> SCHEMA = MessageSchema.of(Hello.class);

    /** {@return the message decoded from {@code bytes}} */
    public static Hello parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
