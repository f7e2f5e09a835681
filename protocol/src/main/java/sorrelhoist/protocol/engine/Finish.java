package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * The answer is complete.
 *
 * @param tokens how many tokens the answer has: one more than the last index
 * @param cachedTokens prompt tokens found in the engine's cache, so not read again
 */
public record Finish(@ProtoField(1) int tokens, @ProtoField(2) int cachedTokens) {
    static final MessageSchema<Finish> SCHEMA = MessageSchema.of(Finish.class);

    /** {@return the message in these bytes} */
    public static Finish parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
