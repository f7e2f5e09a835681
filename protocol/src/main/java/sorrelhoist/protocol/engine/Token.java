package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * One token of an answer.
 *
 * @param index position in the answer, starting at 0, without gaps
 * @param text the token's text
 */
public record Token(@ProtoField(1) int index, @ProtoField(2) String text) {
    static final MessageSchema<Token> SCHEMA = MessageSchema.of(Token.class);

    /** {@return the message decoded from {@code bytes}} */
    public static Token parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
