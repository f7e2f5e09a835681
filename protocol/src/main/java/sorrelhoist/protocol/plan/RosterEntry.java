package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * One engine of the roster.
 *
 * @param id its name
 * @param zone its zone
 * @param rack its rack
 * @param kind its kind
 * @param state 0 serving, 1 draining, 2 gone
 * @param size for comparison with engines of the same role
 * @param incarnation of its process
 * @param uptimeMicros since its start
 * @param address host:port
 */
public record RosterEntry(
        String id,
        String zone,
        String rack,
        String kind,
        int state,
        double size,
        long incarnation,
        long uptimeMicros,
        String address) {
    /** {@return the message in these bytes} */
    public static RosterEntry parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static RosterEntry read(ProtoReader in) throws ProtoException {
        String id = "";
        String zone = "";
        String rack = "";
        String kind = "";
        int state = 0;
        double size = 0;
        long incarnation = 0;
        long upForMicros = 0;
        String address = "";
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> id = in.readString();
                case 2 -> zone = in.readString();
                case 3 -> rack = in.readString();
                case 4 -> kind = in.readString();
                case 5 -> state = in.readNonNegativeInt();
                case 6 -> size = in.readDouble();
                case 7 -> incarnation = in.readVarint();
                case 8 -> upForMicros = in.readVarint();
                case 9 -> address = in.readString();
                default -> in.skipField();
            }
        }
        return new RosterEntry(
                id, zone, rack, kind, state, size, incarnation, upForMicros, address);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .writeString(1, id)
                .writeString(2, zone)
                .writeString(3, rack)
                .writeString(4, kind)
                .writeVarint(5, state)
                .writeDouble(6, size)
                .writeVarint(7, incarnation)
                .writeVarint(8, uptimeMicros)
                .writeString(9, address);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
