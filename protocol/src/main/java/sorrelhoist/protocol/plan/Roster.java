package sorrelhoist.protocol.plan;

import java.util.List;
import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * The roster of engines, complete or in part.
 *
 * @param form {@link #UPDATE}, {@link #COMPLETE} or {@link #UNAVAILABLE}
 * @param entries engines
 * @param epoch grows with every change of the plan
 * @param ageMicros microseconds since the planner learned of it
 */
public record Roster(
        @ProtoField(1) int form,
        @ProtoField(2) List<RosterEntry> entries,
        @ProtoField(3) long epoch,
        @ProtoField(4) long ageMicros) {
    /** Entries that changed. */
    public static final int UPDATE = 0;

    /** All entries; engines that are not among them are gone. */
    public static final int COMPLETE = 1;

    /** The registry could not be read. */
    public static final int UNAVAILABLE = 2;

    static final MessageSchema<Roster> SCHEMA = MessageSchema.of(Roster.class);

    /** {@return the message in these bytes} */
    public static Roster parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
