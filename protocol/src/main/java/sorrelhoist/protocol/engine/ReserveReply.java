package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * Whether a slot is reserved.
 *
 * @param reserved whether it is
 * @param reservationId the reservation's name
 */
public record ReserveReply(@ProtoField(1) boolean reserved, @ProtoField(2) String reservationId) {
    static final MessageSchema<ReserveReply> SCHEMA = MessageSchema.of(ReserveReply.class);

    /** {@return the message in these bytes} */
    public static ReserveReply parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
