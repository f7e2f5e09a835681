package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * Asks a prefill engine to read a prompt.
 *
 * @param requestId the router's name for the request, unique over all routers and attempts
 * @param clientId the client's name for its request; may be empty
 * @param edge name of the router that sends
 * @param attempt number of the attempt, from 0
 * @param prompt the text
 * @param promptTokens tokens in the prompt
 * @param maxTokens the most tokens that the answer may have
 * @param requestClass index of the request's class
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

    /** {@return the message in these bytes} */
    public static PrefillRequest parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
