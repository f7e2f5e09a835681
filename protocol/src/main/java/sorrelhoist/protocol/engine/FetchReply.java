package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * The description of a fetched prefill state.
 *
 * @param promptTokens number of tokens in the prompt
 * @param digest digest of the prompt
 * @param rack location of the prefill engine, as zone/rack
 */
public record FetchReply(
        @ProtoField(1) int promptTokens, @ProtoField(2) long digest, @ProtoField(3) String rack) {
    static final MessageSchema<FetchReply> SCHEMA = MessageSchema.of(FetchReply.class);

    /** {@return the message decoded from {@code bytes}} */
    public static FetchReply parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
