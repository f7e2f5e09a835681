package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * A router's place among its replicas.
 *
 * @param replicaCount how many routers there are
 * @param index this router's number, from 0
 * @param epoch grows with every change of the plan
 */
public record ReplicaSlot(
        @ProtoField(1) int replicaCount, @ProtoField(2) int index, @ProtoField(3) long epoch) {
    static final MessageSchema<ReplicaSlot> SCHEMA = MessageSchema.of(ReplicaSlot.class);

    /** {@return the message in these bytes} */
    public static ReplicaSlot parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
