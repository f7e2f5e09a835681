package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * An edge's place among its peers.
 *
 * @param replicaCount how many edges there are
 * @param index this edge's number
 * @param epoch grows with every change of the plan
 */
public record ReplicaSlot(int replicaCount, int index, long epoch) {
    /** {@return the message in these bytes} */
    public static ReplicaSlot parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static ReplicaSlot read(ProtoReader in) throws ProtoException {
        int routers = 0;
        int self = 0;
        long epoch = 0;
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> routers = in.readNonNegativeInt();
                case 2 -> self = in.readNonNegativeInt();
                case 3 -> epoch = in.readVarint();
                default -> in.skipField();
            }
        }
        return new ReplicaSlot(routers, self, epoch);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .writeVarint(1, replicaCount)
                .writeVarint(2, index)
                .writeVarint(3, epoch);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
