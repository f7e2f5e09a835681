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
 * @param stateAt address of the engine that holds the state
 * @param prompt the text, only where there is no state
 * @param promptTokens tokens in the prompt
 * @param maxTokens the most that may be answered
 * @param fromToken the first index to send
 * @param placeId a place held ahead; may be empty
 * @param requestClass index of its class
 */
public record DecodeRequest(
        String requestId,
        String clientId,
        String edge,
        int attempt,
        String stateId,
        String stateAt,
        String prompt,
        int promptTokens,
        int maxTokens,
        int fromToken,
        String placeId,
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
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> requestId = in.text();
                case 2 -> clientId = in.text();
                case 3 -> edge = in.text();
                case 4 -> attempt = in.count();
                case 5 -> stateId = in.text();
                case 6 -> stateAt = in.text();
                case 7 -> prompt = in.text();
                case 8 -> promptTokens = in.count();
                case 9 -> maxTokens = in.count();
                case 10 -> fromToken = in.count();
                case 11 -> placeId = in.text();
                case 12 -> requestClass = in.count();
                default -> in.skip();
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
                .text(1, requestId)
                .text(2, clientId)
                .text(3, edge)
                .integer(4, attempt)
                .text(5, stateId)
                .text(6, stateAt)
                .text(7, prompt)
                .integer(8, promptTokens)
                .integer(9, maxTokens)
                .integer(10, fromToken)
                .text(11, placeId)
                .integer(12, requestClass);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
