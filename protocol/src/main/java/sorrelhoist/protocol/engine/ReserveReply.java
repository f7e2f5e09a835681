package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * Whether a place is held.
 *
 * @param held whether it is held
 * @param placeId the place's name
 */
public record ReserveReply(boolean held, String placeId) {
    /** {@return the message in these bytes} */
    public static ReserveReply parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static ReserveReply read(ProtoReader in) throws ProtoException {
        boolean held = false;
        String placeId = "";
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> held = in.flag();
                case 2 -> placeId = in.text();
                default -> in.skip();
            }
        }
        return new ReserveReply(held, placeId);
    }

    ProtoWriter write() {
        return new ProtoWriter().flag(1, held).text(2, placeId);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
