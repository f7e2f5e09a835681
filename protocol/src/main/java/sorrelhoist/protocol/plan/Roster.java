package sorrelhoist.protocol.plan;

import java.util.List;
import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * The roster of engines, either complete or as an update.
 *
 * @param form {@link #UPDATE}, {@link #COMPLETE} or {@link #UNAVAILABLE}
 * @param entries the engines
 * @param epoch version of the plan, which increases with every change
 * @param ageMicros time since the planner received this state, in microseconds
 */
public record Roster(
        @ProtoField(1) int form,
        @ProtoField(2) List<RosterEntry> entries,
        @ProtoField(3) long epoch,
        @ProtoField(4) long ageMicros) {
    /** The roster contains only the entries that changed. */
    public static final int UPDATE = 0;

    /** The roster contains all entries; engines without an entry are gone. */
    public static final int COMPLETE = 1;

    /** The planner could not read the registry. */
    public static final int UNAVAILABLE = 2;

    static final MessageSchema<Roster> SCHEMA = MessageSchema.of(Roster.class);

    /** {@return the message decoded from {@code bytes}} */
    public static Roster parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
