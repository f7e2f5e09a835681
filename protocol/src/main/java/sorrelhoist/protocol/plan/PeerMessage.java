package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * Another router's message.
 *
 * @param sender the sender's number
 * @param body the message
 */
public record PeerMessage(int sender, String body) {
    /** {@return the message in these bytes} */
    public static PeerMessage parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static PeerMessage read(ProtoReader in) throws ProtoException {
        int from = 0;
        String body = "";
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> from = in.readNonNegativeInt();
                case 2 -> body = in.readString();
                default -> in.skipField();
            }
        }
        return new PeerMessage(from, body);
    }

    ProtoWriter write() {
        return new ProtoWriter().writeVarint(1, sender).writeString(2, body);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
