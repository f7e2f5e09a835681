package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * The prompt was read; its state waits.
 *
 * @param stateId the state's name at the engine that holds it
 * @param keptTokens tokens found kept, not read again
 */
public record PrefillReply(String stateId, int keptTokens) {
    /** {@return the message in these bytes} */
    public static PrefillReply parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static PrefillReply read(ProtoReader in) throws ProtoException {
        String stateId = "";
        int keptTokens = 0;
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> stateId = in.text();
                case 2 -> keptTokens = in.count();
                default -> in.skip();
            }
        }
        return new PrefillReply(stateId, keptTokens);
    }

    ProtoWriter write() {
        return new ProtoWriter().text(1, stateId).integer(2, keptTokens);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
