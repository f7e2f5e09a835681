package sorrelhoist.protocol.plan;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * The roster, whole or in part.
 *
 * @param form {@link #UPDATE}, {@link #COMPLETE} or {@link #UNAVAILABLE}
 * @param entries engines
 * @param epoch grows with every change of the plan
 * @param ageMicros how long ago the planner learned of it
 */
public record Roster(int form, List<RosterEntry> entries, long epoch, long ageMicros) {
    /** Lines that changed. */
    public static final int UPDATE = 0;

    /** All lines; what is not among them is gone. */
    public static final int COMPLETE = 1;

    /** The registry could not be read. */
    public static final int UNAVAILABLE = 2;

    static Roster read(ProtoReader in) throws ProtoException {
        int form = 0;
        List<RosterEntry> lines = new ArrayList<>();
        long epoch = 0;
        long known = 0;
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> form = in.readNonNegativeInt();
                case 2 -> lines.add(RosterEntry.read(in.readMessage()));
                case 3 -> epoch = in.readVarint();
                case 4 -> known = in.readVarint();
                default -> in.skipField();
            }
        }
        return new Roster(form, lines, epoch, known);
    }

    ProtoWriter write() {
        ProtoWriter out = new ProtoWriter(256).writeVarint(1, form);
        entries.forEach(l -> out.writeMessage(2, l.write()));
        return out.writeVarint(3, epoch).writeVarint(4, ageMicros);
    }
}
