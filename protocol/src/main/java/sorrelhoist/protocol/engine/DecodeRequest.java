package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * Asks a decode engine to fetch a prefill state and generate the answer.
 *
 * @param requestId the router's ID of the request, unique across all routers and attempts
 * @param clientId the client's ID of its request; empty if it sent none
 * @param edge name of the sending router
 * @param attempt number of the attempt, starting at 0
 * @param stateId ID of the prefill state to fetch; empty if the decode engine reads the prompt
 *     itself
 * @param stateAddress address of the engine that holds the state
 * @param prompt the prompt's text; set only if {@code stateId} is empty
 * @param promptTokens number of tokens in the prompt
 * @param maxTokens maximum number of tokens in the answer
 * @param firstTokenIndex index of the first token to send
 * @param reservationId ID of a reservation made in advance; empty if there is none
 * @param requestClass index of the request class
 */
public record DecodeRequest(
        @ProtoField(1) String requestId,
        @ProtoField(2) String clientId,
        @ProtoField(3) String edge,
        @ProtoField(4) int attempt,
        @ProtoField(5) String stateId,
        @ProtoField(6) String stateAddress,
        @ProtoField(7) String prompt,
        @ProtoField(8) int promptTokens,
        @ProtoField(9) int maxTokens,
        @ProtoField(10) int firstTokenIndex,
        @ProtoField(11) String reservationId,
        @ProtoField(12) int requestClass) {
    static final MessageSchema<DecodeRequest> SCHEMA = MessageSchema.of(DecodeRequest.class);

    /** {@return the message decoded from {@code bytes}} */
    public static DecodeRequest parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
