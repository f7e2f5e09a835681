package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * Asks a decode engine to reserve a slot and memory for a later decode.
 *
 * @param requestId the router's ID of the request, unique across all routers and attempts
 * @param promptTokens number of tokens in the prompt
 * @param maxTokens maximum number of tokens in the answer
 */
public record ReserveRequest(
        @ProtoField(1) String requestId,
        @ProtoField(2) int promptTokens,
        @ProtoField(3) int maxTokens) {
    static final MessageSchema<ReserveRequest> SCHEMA = MessageSchema.of(ReserveRequest.class);

    /** {@return the message decoded from {@code bytes}} */
    public static ReserveRequest parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
