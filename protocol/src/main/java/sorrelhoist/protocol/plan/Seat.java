package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * An edge's place among its peers.
 *
 * @param routers how many edges there are
 * @param self this edge's number
 * @param epoch grows with every change of the plan
 */
public record Seat(int routers, int self, long epoch) {
    /** {@return the message in these bytes} */
    public static Seat parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static Seat read(ProtoReader in) throws ProtoException {
        int routers = 0;
        int self = 0;
        long epoch = 0;
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> routers = in.count();
                case 2 -> self = in.count();
                case 3 -> epoch = in.integer();
                default -> in.skip();
            }
        }
        return new Seat(routers, self, epoch);
    }

    ProtoWriter write() {
        return new ProtoWriter().integer(1, routers).integer(2, self).integer(3, epoch);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
