package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * The reply to a reservation request.
 *
 * @param reserved whether the slot and memory are reserved
 * @param reservationId ID of the reservation
 */
public record ReserveReply(@ProtoField(1) boolean reserved, @ProtoField(2) String reservationId) {
    static final MessageSchema<ReserveReply> SCHEMA = MessageSchema.of(ReserveReply.class);

    /** {@return the message decoded from {@code bytes}} */
    public static ReserveReply parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
