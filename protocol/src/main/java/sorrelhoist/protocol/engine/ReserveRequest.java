package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * Asks a writer to hold a slot and memory ahead.
 *
 * @param requestId the router's name for it, unique over all edges and tries
 * @param promptTokens tokens in the prompt
 * @param maxTokens the most that may be answered
 */
public record ReserveRequest(String requestId, int promptTokens, int maxTokens) {
    /** {@return the message in these bytes} */
    public static ReserveRequest parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static ReserveRequest read(ProtoReader in) throws ProtoException {
        String requestId = "";
        int promptTokens = 0;
        int maxTokens = 0;
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> requestId = in.readString();
                case 2 -> promptTokens = in.readNonNegativeInt();
                case 3 -> maxTokens = in.readNonNegativeInt();
                default -> in.skipField();
            }
        }
        return new ReserveRequest(requestId, promptTokens, maxTokens);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .writeString(1, requestId)
                .writeVarint(2, promptTokens)
                .writeVarint(3, maxTokens);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
