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
 * @param lines engines
 * @param epoch grows with every change of the plan
 * @param knownForMicros how long ago the planner learned of it
 */
public record Roster(int form, List<Line> lines, long epoch, long knownForMicros) {
    /** Lines that changed. */
    public static final int UPDATE = 0;

    /** All lines; what is not among them is gone. */
    public static final int COMPLETE = 1;

    /** The registry could not be read. */
    public static final int UNAVAILABLE = 2;

    static Roster read(ProtoReader in) throws ProtoException {
        int form = 0;
        List<Line> lines = new ArrayList<>();
        long epoch = 0;
        long known = 0;
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> form = in.count();
                case 2 -> lines.add(Line.read(in.message()));
                case 3 -> epoch = in.integer();
                case 4 -> known = in.integer();
                default -> in.skip();
            }
        }
        return new Roster(form, lines, epoch, known);
    }

    ProtoWriter write() {
        ProtoWriter out = new ProtoWriter(256).integer(1, form);
        lines.forEach(l -> out.message(2, l.write()));
        return out.integer(3, epoch).integer(4, knownForMicros);
    }
}
