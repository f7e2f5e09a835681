package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * A message from the planner to a router. One of its components is set; the others are null.
 *
 * @param slot the router's index among the replicas
 * @param roster the roster of engines
 * @param probe the result of a health check
 * @param peerMessage another router's message
 * @param peers the other routers
 */
public record PlanEvent(
        ReplicaSlot slot,
        Roster roster,
        ProbeResult probe,
        PeerMessage peerMessage,
        PeerList peers) {
    /** Path of the stream between router and planner. */
    public static final String ATTACH = "/sorrelhoist.plan.v1.Planner/Attach";

    private static final int SLOT = 1;
    private static final int ROSTER = 2;
    private static final int PROBE = 3;
    private static final int PEER_MESSAGE = 4;
    private static final int PEERS = 5;

    /** {@return an event with a router's replica slot} */
    public static PlanEvent of(ReplicaSlot slot) {
        return new PlanEvent(slot, null, null, null, null);
    }

    /** {@return an event with a roster} */
    public static PlanEvent of(Roster roster) {
        return new PlanEvent(null, roster, null, null, null);
    }

    /** {@return an event with the result of a health check} */
    public static PlanEvent of(ProbeResult probe) {
        return new PlanEvent(null, null, probe, null, null);
    }

    /** {@return an event with another router's message} */
    public static PlanEvent of(PeerMessage peerMessage) {
        return new PlanEvent(null, null, null, peerMessage, null);
    }

    /** {@return an event with the list of the other routers} */
    public static PlanEvent of(PeerList peers) {
        return new PlanEvent(null, null, null, null, peers);
    }

    /**
     * {@return the message decoded from {@code bytes}; all components are null if its kind is
     * unknown}
     */
    public static PlanEvent parse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        PlanEvent event = new PlanEvent(null, null, null, null, null);
        for (int field = in.nextField(); field != 0; field = in.nextField()) {
            switch (field) {
                case SLOT -> event = of(ReplicaSlot.SCHEMA.read(in.readMessage()));
                case ROSTER -> event = of(Roster.SCHEMA.read(in.readMessage()));
                case PROBE -> event = of(ProbeResult.SCHEMA.read(in.readMessage()));
                case PEER_MESSAGE -> event = of(PeerMessage.SCHEMA.read(in.readMessage()));
                case PEERS -> event = of(PeerList.SCHEMA.read(in.readMessage()));
                default -> in.skipField();
            }
        }
        return event;
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        ProtoWriter out = new ProtoWriter();
        if (slot != null) {
            out.writeMessage(SLOT, ReplicaSlot.SCHEMA.write(slot));
        } else if (roster != null) {
            out.writeMessage(ROSTER, Roster.SCHEMA.write(roster));
        } else if (probe != null) {
            out.writeMessage(PROBE, ProbeResult.SCHEMA.write(probe));
        } else if (peers != null) {
            out.writeMessage(PEERS, PeerList.SCHEMA.write(peers));
        } else {
            out.writeMessage(PEER_MESSAGE, PeerMessage.SCHEMA.write(peerMessage));
        }
        return out.toByteArray();
    }
}
