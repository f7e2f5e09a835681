package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * What a planner tells an edge: one of these is not null.
 *
 * @param seat its place among its peers
 * @param roster engines
 * @param probe how a probe ended
 * @param news another router's message
 * @param peers the other edges
 */
public record PlanEvent(Seat seat, Roster roster, ProbeAnswer probe, News news, Peers peers) {
    /** Path of the stream between edge and planner. */
    public static final String ATTACH = "/sorrelhoist.plan.v1.Planner/Attach";

    /** {@return an event of this seat} */
    public static PlanEvent of(Seat seat) {
        return new PlanEvent(seat, null, null, null, null);
    }

    /** {@return an event of this roster} */
    public static PlanEvent of(Roster roster) {
        return new PlanEvent(null, roster, null, null, null);
    }

    /** {@return an event of this probe} */
    public static PlanEvent of(ProbeAnswer probe) {
        return new PlanEvent(null, null, probe, null, null);
    }

    /** {@return an event of this news} */
    public static PlanEvent of(News news) {
        return new PlanEvent(null, null, null, news, null);
    }

    /** {@return an event of these peers} */
    public static PlanEvent of(Peers peers) {
        return new PlanEvent(null, null, null, null, peers);
    }

    /**
     * {@return the message in these bytes; all parts are null where it is of a kind not known yet}
     */
    public static PlanEvent parse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        PlanEvent event = new PlanEvent(null, null, null, null, null);
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> event = of(Seat.read(in.message()));
                case 2 -> event = of(Roster.read(in.message()));
                case 3 -> event = of(ProbeAnswer.read(in.message()));
                case 4 -> event = of(News.read(in.message()));
                case 5 -> event = of(Peers.read(in.message()));
                default -> in.skip();
            }
        }
        return event;
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        ProtoWriter out = new ProtoWriter(256);
        if (seat != null) {
            out.message(1, seat.write());
        } else if (roster != null) {
            out.message(2, roster.write());
        } else if (probe != null) {
            out.message(3, probe.write());
        } else if (peers != null) {
            out.message(5, peers.write());
        } else {
            out.message(4, news.write());
        }
        return out.done();
    }
}
