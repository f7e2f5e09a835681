package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * A prompt was read, and its state can be fetched.
 *
 * @param stateId the state's name at the engine that holds it
 * @param cachedTokens tokens found in the engine's cache, so not read again
 */
public record PrefillReply(@ProtoField(1) String stateId, @ProtoField(2) int cachedTokens) {
    static final MessageSchema<PrefillReply> SCHEMA = MessageSchema.of(PrefillReply.class);

    /** {@return the message in these bytes} */
    public static PrefillReply parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
