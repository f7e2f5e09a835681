package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * Another edge.
 *
 * @param edge its name
 * @param zone its zone
 * @param address where it is reached
 */
public record Peer(String edge, String zone, String address) {
    /** {@return the message in these bytes} */
    public static Peer parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static Peer read(ProtoReader in) throws ProtoException {
        String edge = "";
        String zone = "";
        String address = "";
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> edge = in.readString();
                case 2 -> zone = in.readString();
                case 3 -> address = in.readString();
                default -> in.skipField();
            }
        }
        return new Peer(edge, zone, address);
    }

    ProtoWriter write() {
        return new ProtoWriter().writeString(1, edge).writeString(2, zone).writeString(3, address);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
