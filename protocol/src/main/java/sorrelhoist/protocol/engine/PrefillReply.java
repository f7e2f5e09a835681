package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * The reply to a completed prefill, whose state can be fetched.
 *
 * @param stateId ID of the state at the engine that holds it
 * @param cachedTokens prompt tokens that were found in the engine's cache and not read again
 */
public record PrefillReply(@ProtoField(1) String stateId, @ProtoField(2) int cachedTokens) {
    static final MessageSchema<PrefillReply> SCHEMA = MessageSchema.of(PrefillReply.class);

    /** {@return the message decoded from {@code bytes}} */
    public static PrefillReply parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
