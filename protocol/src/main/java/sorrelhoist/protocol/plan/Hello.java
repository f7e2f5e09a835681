package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * An edge's first word.
 *
 * @param edge its name
 * @param zone where it stands
 * @param incarnation grows with every start
 * @param address where its peers reach it
 */
public record Hello(String edge, String zone, long incarnation, String address) {
    /** {@return the message in these bytes} */
    public static Hello parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static Hello read(ProtoReader in) throws ProtoException {
        String edge = "";
        String zone = "";
        long incarnation = 0;
        String address = "";
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> edge = in.readString();
                case 2 -> zone = in.readString();
                case 3 -> incarnation = in.readVarint();
                case 4 -> address = in.readString();
                default -> in.skipField();
            }
        }
        return new Hello(edge, zone, incarnation, address);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .writeString(1, edge)
                .writeString(2, zone)
                .writeVarint(3, incarnation)
                .writeString(4, address);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
