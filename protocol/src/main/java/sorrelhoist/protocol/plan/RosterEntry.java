package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * One engine of the roster.
 *
 * @param id the engine's name
 * @param zone its zone
 * @param rack its rack
 * @param kind its role
 * @param state 0 serving, 1 draining, 2 gone
 * @param size capacity relative to engines of the same role
 * @param incarnation of its process
 * @param uptimeMicros microseconds since its process started
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

    /** {@return the message in these bytes} */
    public static RosterEntry parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
