package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * A router's index among the replicas.
 *
 * @param replicaCount number of routers
 * @param index index of this router, starting at 0
 * @param epoch version of the plan, which increases with every change
 */
public record ReplicaSlot(
        @ProtoField(1) int replicaCount, @ProtoField(2) int index, @ProtoField(3) long epoch) {
    static final MessageSchema<ReplicaSlot> SCHEMA = MessageSchema.of(ReplicaSlot.class);

    /** {@return the message decoded from {@code bytes}} */
    public static ReplicaSlot parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
