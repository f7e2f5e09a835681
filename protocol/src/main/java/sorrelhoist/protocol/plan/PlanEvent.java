package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * What a planner tells an edge: one of these is not null.
 *
 * @param slot its place among its peers
 * @param roster engines
 * @param probe how a probe ended
 * @param peerMessage another router's message
 * @param peers the other edges
 */
public record PlanEvent(
        ReplicaSlot slot,
        Roster roster,
        ProbeResult probe,
        PeerMessage peerMessage,
        PeerList peers) {
    /** Path of the stream between edge and planner. */
    public static final String ATTACH = "/sorrelhoist.plan.v1.Planner/Attach";

    /** {@return an event of this seat} */
    public static PlanEvent of(ReplicaSlot seat) {
        return new PlanEvent(seat, null, null, null, null);
    }

    /** {@return an event of this roster} */
    public static PlanEvent of(Roster roster) {
        return new PlanEvent(null, roster, null, null, null);
    }

    /** {@return an event of this probe} */
    public static PlanEvent of(ProbeResult probe) {
        return new PlanEvent(null, null, probe, null, null);
    }

    /** {@return an event of this news} */
    public static PlanEvent of(PeerMessage news) {
        return new PlanEvent(null, null, null, news, null);
    }

    /** {@return an event of these peers} */
    public static PlanEvent of(PeerList peers) {
        return new PlanEvent(null, null, null, null, peers);
    }

    /**
     * {@return the message in these bytes; all parts are null where it is of a kind not known yet}
     */
    public static PlanEvent parse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        PlanEvent event = new PlanEvent(null, null, null, null, null);
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> event = of(ReplicaSlot.read(in.readMessage()));
                case 2 -> event = of(Roster.read(in.readMessage()));
                case 3 -> event = of(ProbeResult.read(in.readMessage()));
                case 4 -> event = of(PeerMessage.read(in.readMessage()));
                case 5 -> event = of(PeerList.read(in.readMessage()));
                default -> in.skipField();
            }
        }
        return event;
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        ProtoWriter out = new ProtoWriter(256);
        if (slot != null) {
            out.writeMessage(1, slot.write());
        } else if (roster != null) {
            out.writeMessage(2, roster.write());
        } else if (probe != null) {
            out.writeMessage(3, probe.write());
        } else if (peers != null) {
            out.writeMessage(5, peers.write());
        } else {
            out.writeMessage(4, peerMessage.write());
        }
        return out.toByteArray();
    }
}
