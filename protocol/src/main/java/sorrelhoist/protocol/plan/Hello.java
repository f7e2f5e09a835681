package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * A router's first message to its planner.
 *
 * @param edge the router's name
 * @param zone its zone
 * @param incarnation grows with every start
 * @param address where its peers reach it
 */
public record Hello(
        @ProtoField(1) String edge,
        @ProtoField(2) String zone,
        @ProtoField(3) long incarnation,
        @ProtoField(4) String address) {
    static final MessageSchema<Hello> SCHEMA = MessageSchema.of(Hello.class);

    /** {@return the message in these bytes} */
    public static Hello parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
