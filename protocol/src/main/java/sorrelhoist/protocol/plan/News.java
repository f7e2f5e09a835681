package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * Another router's message.
 *
 * @param from the sender's number
 * @param body the message
 */
public record News(int from, String body) {
    /** {@return the message in these bytes} */
    public static News parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static News read(ProtoReader in) throws ProtoException {
        int from = 0;
        String body = "";
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> from = in.count();
                case 2 -> body = in.text();
                default -> in.skip();
            }
        }
        return new News(from, body);
    }

    ProtoWriter write() {
        return new ProtoWriter().integer(1, from).text(2, body);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
