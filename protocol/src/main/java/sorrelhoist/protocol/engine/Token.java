package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * One token of an answer.
 *
 * @param index from 0, without gaps
 * @param text the token's text
 */
public record Token(int index, String text) {
    /** {@return the message in these bytes} */
    public static Token parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static Token read(ProtoReader in) throws ProtoException {
        int index = 0;
        String text = "";
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> index = in.readNonNegativeInt();
                case 2 -> text = in.readString();
                default -> in.skipField();
            }
        }
        return new Token(index, text);
    }

    ProtoWriter write() {
        return new ProtoWriter().writeVarint(1, index).writeString(2, text);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
