package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * Asks a decode engine to reserve a slot and memory ahead.
 *
 * @param requestId the router's name for the request, unique over all routers and attempts
 * @param promptTokens tokens in the prompt
 * @param maxTokens the most tokens that the answer may have
 */
public record ReserveRequest(
        @ProtoField(1) String requestId,
        @ProtoField(2) int promptTokens,
        @ProtoField(3) int maxTokens) {
    static final MessageSchema<ReserveRequest> SCHEMA = MessageSchema.of(ReserveRequest.class);

    /** {@return the message in these bytes} */
    public static ReserveRequest parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
