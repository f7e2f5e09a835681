package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * One engine of the roster.
 *
 * @param id the engine's name
 * @param zone the engine's zone
 * @param rack the engine's rack
 * @param kind the engine's role
 * @param state 0 serving, 1 draining, 2 gone
 * @param size capacity relative to other engines of the same role
 * @param incarnation incarnation number of the engine's process
 * @param uptimeMicros time since the engine's process started, in microseconds
 * @param address host:port
 */
public record RosterEntry(
        @ProtoField(1) String id,
        @ProtoField(2) String zone,
        @ProtoField(3) String rack,
        @ProtoField(4) String kind,
        @ProtoField(5) int state,
        @ProtoField(6) double size,
        @ProtoField(7) long incarnation,
        @ProtoField(8) long uptimeMicros,
        @ProtoField(9) String address) {
    static final MessageSchema<RosterEntry> SCHEMA = MessageSchema.of(RosterEntry.class);

    /** {@return the message decoded from {@code bytes}} */
    public static RosterEntry parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
