package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * Whether something was let go.
 *
 * @param released whether something was let go
 */
public record ReleaseReply(boolean released) {
    /** {@return the message in these bytes} */
    public static ReleaseReply parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static ReleaseReply read(ProtoReader in) throws ProtoException {
        boolean released = false;
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> released = in.flag();
                default -> in.skip();
            }
        }
        return new ReleaseReply(released);
    }

    ProtoWriter write() {
        return new ProtoWriter().flag(1, released);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
