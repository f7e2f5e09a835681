package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * Asks a prefill engine to read a prompt.
 *
 * @param requestId the router's ID of the request, unique across all routers and attempts
 * @param clientId the client's ID of its request; empty if it sent none
 * @param edge name of the sending router
 * @param attempt number of the attempt, starting at 0
 * @param prompt the prompt's text
 * @param promptTokens number of tokens in the prompt
 * @param maxTokens maximum number of tokens in the answer
 * @param requestClass index of the request class
 */
public record PrefillRequest(
        @ProtoField(1) String requestId,
        @ProtoField(2) String clientId,
        @ProtoField(3) String edge,
        @ProtoField(4) int attempt,
        @ProtoField(5) String prompt,
        @ProtoField(6) int promptTokens,
        @ProtoField(7) int maxTokens,
        @ProtoField(8) int requestClass) {
    static final MessageSchema<PrefillRequest> SCHEMA = MessageSchema.of(PrefillRequest.class);

    /** {@return the message decoded from {@code bytes}} */
    public static PrefillRequest parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
