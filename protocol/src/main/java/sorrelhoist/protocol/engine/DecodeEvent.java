package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * One message of a decode stream: either a token or the end of the answer.
 *
 * @param token the token, or null
 * @param finish the end of the answer, or null
 */
public record DecodeEvent(Token token, Finish finish) {
    private static final int TOKEN = 1;
    private static final int FINISH = 2;

    /** {@return the message decoded from {@code bytes}} */
    public static DecodeEvent parse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        Token token = null;
        Finish finish = null;
        for (int field = in.nextField(); field != 0; field = in.nextField()) {
            switch (field) {
                case TOKEN -> token = Token.SCHEMA.read(in.readMessage());
                case FINISH -> finish = Finish.SCHEMA.read(in.readMessage());
                default -> in.skipField();
            }
        }
        if (token == null == (finish == null)) {
            throw new ProtoException("a decode event holds one of token and finish");
        }
        return new DecodeEvent(token, finish);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        ProtoWriter out = new ProtoWriter();
        if (token != null) {
            out.writeMessage(TOKEN, Token.SCHEMA.write(token));
        } else {
            out.writeMessage(FINISH, Finish.SCHEMA.write(finish));
        }
        return out.toByteArray();
    }
}
