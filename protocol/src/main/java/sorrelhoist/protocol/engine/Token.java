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
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> index = in.count();
                case 2 -> text = in.text();
                default -> in.skip();
            }
        }
        return new Token(index, text);
    }

    ProtoWriter write() {
        return new ProtoWriter().integer(1, index).text(2, text);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
