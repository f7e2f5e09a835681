package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * Asks a writer to fetch a state and write the answer.
 *
 * @param requestId the router's name for it, unique over all edges and tries
 * @param clientId the client's name for it; may be empty
 * @param edge the edge that sends
 * @param attempt number of the send, from 0
 * @param stateId the state to fetch; empty where the engine reads the prompt by itself
 * @param stateAddress address of the engine that holds the state
 * @param prompt the text, only where there is no state
 * @param promptTokens tokens in the prompt
 * @param maxTokens the most that may be answered
 * @param firstTokenIndex the first index to send
 * @param reservationId a place held ahead; may be empty
 * @param requestClass index of its class
 */
public record DecodeRequest(
        String requestId,
        String clientId,
        String edge,
        int attempt,
        String stateId,
        String stateAddress,
        String prompt,
        int promptTokens,
        int maxTokens,
        int firstTokenIndex,
        String reservationId,
        int requestClass) {
    /** {@return the message in these bytes} */
    public static DecodeRequest parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static DecodeRequest read(ProtoReader in) throws ProtoException {
        String requestId = "";
        String clientId = "";
        String edge = "";
        int attempt = 0;
        String stateId = "";
        String stateAt = "";
        String prompt = "";
        int promptTokens = 0;
        int maxTokens = 0;
        int fromToken = 0;
        String placeId = "";
        int requestClass = 0;
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> requestId = in.readString();
                case 2 -> clientId = in.readString();
                case 3 -> edge = in.readString();
                case 4 -> attempt = in.readNonNegativeInt();
                case 5 -> stateId = in.readString();
                case 6 -> stateAt = in.readString();
                case 7 -> prompt = in.readString();
                case 8 -> promptTokens = in.readNonNegativeInt();
                case 9 -> maxTokens = in.readNonNegativeInt();
                case 10 -> fromToken = in.readNonNegativeInt();
                case 11 -> placeId = in.readString();
                case 12 -> requestClass = in.readNonNegativeInt();
                default -> in.skipField();
            }
        }
        return new DecodeRequest(
                requestId,
                clientId,
                edge,
                attempt,
                stateId,
                stateAt,
                prompt,
                promptTokens,
                maxTokens,
                fromToken,
                placeId,
                requestClass);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .writeString(1, requestId)
                .writeString(2, clientId)
                .writeString(3, edge)
                .writeVarint(4, attempt)
                .writeString(5, stateId)
                .writeString(6, stateAddress)
                .writeString(7, prompt)
                .writeVarint(8, promptTokens)
                .writeVarint(9, maxTokens)
                .writeVarint(10, firstTokenIndex)
                .writeString(11, reservationId)
                .writeVarint(12, requestClass);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
