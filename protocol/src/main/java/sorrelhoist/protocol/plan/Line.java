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
 * @param upForMicros since its start
 * @param address host:port
 */
public record Line(
        String id,
        String zone,
        String rack,
        String kind,
        int state,
        double size,
        long incarnation,
        long upForMicros,
        String address) {
    /** {@return the message in these bytes} */
    public static Line parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static Line read(ProtoReader in) throws ProtoException {
        String id = "";
        String zone = "";
        String rack = "";
        String kind = "";
        int state = 0;
        double size = 0;
        long incarnation = 0;
        long upForMicros = 0;
        String address = "";
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> id = in.text();
                case 2 -> zone = in.text();
                case 3 -> rack = in.text();
                case 4 -> kind = in.text();
                case 5 -> state = in.count();
                case 6 -> size = in.real();
                case 7 -> incarnation = in.integer();
                case 8 -> upForMicros = in.integer();
                case 9 -> address = in.text();
                default -> in.skip();
            }
        }
        return new Line(id, zone, rack, kind, state, size, incarnation, upForMicros, address);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .text(1, id)
                .text(2, zone)
                .text(3, rack)
                .text(4, kind)
                .integer(5, state)
                .real(6, size)
                .integer(7, incarnation)
                .integer(8, upForMicros)
                .text(9, address);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
