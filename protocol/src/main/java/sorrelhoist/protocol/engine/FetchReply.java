package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * A prefill state.
 *
 * @param promptTokens tokens in the prompt
 * @param digest of the prompt
 * @param rack location of the prefill engine: zone/rack
 */
public record FetchReply(
        @ProtoField(1) int promptTokens, @ProtoField(2) long digest, @ProtoField(3) String rack) {
    static final MessageSchema<FetchReply> SCHEMA = MessageSchema.of(FetchReply.class);

    /** {@return the message in these bytes} */
    public static FetchReply parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
