package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * Asks a decode engine to fetch a prefill state and generate the answer.
 *
 * @param requestId the router's name for the request, unique over all routers and attempts
 * @param clientId the client's name for its request; may be empty
 * @param edge name of the router that sends
 * @param attempt number of the attempt, from 0
 * @param stateId the prefill state to fetch; empty where the engine reads the prompt itself
 * @param stateAddress address of the engine that holds the state
 * @param prompt the text, only where there is no state
 * @param promptTokens tokens in the prompt
 * @param maxTokens the most tokens that the answer may have
 * @param firstTokenIndex index of the first token to send
 * @param reservationId a reservation made ahead; may be empty
 * @param requestClass index of the request's class
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

    /** {@return the message in these bytes} */
    public static DecodeRequest parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
