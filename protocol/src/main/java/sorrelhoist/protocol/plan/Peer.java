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
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> edge = in.text();
                case 2 -> zone = in.text();
                case 3 -> address = in.text();
                default -> in.skip();
            }
        }
        return new Peer(edge, zone, address);
    }

    ProtoWriter write() {
        return new ProtoWriter().text(1, edge).text(2, zone).text(3, address);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
