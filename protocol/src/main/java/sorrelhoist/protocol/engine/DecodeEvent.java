package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * One message of an answer: a token, or the finish.
 *
 * @param token the token, or null
 * @param finish the finish, or null
 */
public record DecodeEvent(Token token, Finish finish) {
    /** {@return the message in these bytes} */
    public static DecodeEvent parse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        Token token = null;
        Finish finish = null;
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> token = Token.read(in.readMessage());
                case 2 -> finish = Finish.read(in.readMessage());
                default -> in.skipField();
            }
        }
        if (token == null == (finish == null)) {
            throw new ProtoException("a decode event holds one of token and finish");
        }
        return new DecodeEvent(token, finish);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return token != null
                ? new ProtoWriter(48).writeMessage(1, token.write()).toByteArray()
                : new ProtoWriter(16).writeMessage(2, finish.write()).toByteArray();
    }
}
