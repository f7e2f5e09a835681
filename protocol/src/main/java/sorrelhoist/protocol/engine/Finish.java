package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * Marks the end of a complete answer.
 *
 * @param tokens number of tokens in the answer: one more than the last token's index
 * @param cachedTokens prompt tokens that were found in the engine's cache and not read again
 */
public record Finish(@ProtoField(1) int tokens, @ProtoField(2) int cachedTokens) {
    static final MessageSchema<Finish> SCHEMA = MessageSchema.of(Finish.class);

    /** {@return the message decoded from {@code bytes}} */
    public static Finish parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
