package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * Asks a reader to read a prompt.
 *
 * @param requestId the router's name for it, unique over all edges and tries
 * @param clientId the client's name for it; may be empty
 * @param edge the edge that sends
 * @param attempt number of the send, from 0
 * @param prompt the text
 * @param promptTokens tokens in the prompt
 * @param maxTokens the most that may be answered
 * @param requestClass index of its class
 */
public record PrefillRequest(
        String requestId,
        String clientId,
        String edge,
        int attempt,
        String prompt,
        int promptTokens,
        int maxTokens,
        int requestClass) {
    /** {@return the message in these bytes} */
    public static PrefillRequest parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static PrefillRequest read(ProtoReader in) throws ProtoException {
        String requestId = "";
        String clientId = "";
        String edge = "";
        int attempt = 0;
        String prompt = "";
        int promptTokens = 0;
        int maxTokens = 0;
        int requestClass = 0;
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> requestId = in.readString();
                case 2 -> clientId = in.readString();
                case 3 -> edge = in.readString();
                case 4 -> attempt = in.readNonNegativeInt();
                case 5 -> prompt = in.readString();
                case 6 -> promptTokens = in.readNonNegativeInt();
                case 7 -> maxTokens = in.readNonNegativeInt();
                case 8 -> requestClass = in.readNonNegativeInt();
                default -> in.skipField();
            }
        }
        return new PrefillRequest(
                requestId, clientId, edge, attempt, prompt, promptTokens, maxTokens, requestClass);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .writeString(1, requestId)
                .writeString(2, clientId)
                .writeString(3, edge)
                .writeVarint(4, attempt)
                .writeString(5, prompt)
                .writeVarint(6, promptTokens)
                .writeVarint(7, maxTokens)
                .writeVarint(8, requestClass);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
