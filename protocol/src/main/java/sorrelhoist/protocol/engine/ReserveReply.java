package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * Whether a place is held.
 *
 * @param reserved whether it is held
 * @param reservationId the place's name
 */
public record ReserveReply(boolean reserved, String reservationId) {
    /** {@return the message in these bytes} */
    public static ReserveReply parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static ReserveReply read(ProtoReader in) throws ProtoException {
        boolean held = false;
        String placeId = "";
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> held = in.readBool();
                case 2 -> placeId = in.readString();
                default -> in.skipField();
            }
        }
        return new ReserveReply(held, placeId);
    }

    ProtoWriter write() {
        return new ProtoWriter().writeBool(1, reserved).writeString(2, reservationId);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
