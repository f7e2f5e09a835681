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
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> requestId = in.text();
                case 2 -> promptTokens = in.count();
                case 3 -> maxTokens = in.count();
                default -> in.skip();
            }
        }
        return new ReserveRequest(requestId, promptTokens, maxTokens);
    }

    ProtoWriter write() {
        return new ProtoWriter().text(1, requestId).integer(2, promptTokens).integer(3, maxTokens);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
