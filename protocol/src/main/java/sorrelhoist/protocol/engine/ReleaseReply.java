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
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> released = in.readBool();
                default -> in.skipField();
            }
        }
        return new ReleaseReply(released);
    }

    ProtoWriter write() {
        return new ProtoWriter().writeBool(1, released);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
