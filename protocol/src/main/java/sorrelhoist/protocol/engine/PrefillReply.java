package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * The prompt was read; its state waits.
 *
 * @param stateId the state's name at the engine that holds it
 * @param cachedTokens tokens found kept, not read again
 */
public record PrefillReply(String stateId, int cachedTokens) {
    /** {@return the message in these bytes} */
    public static PrefillReply parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static PrefillReply read(ProtoReader in) throws ProtoException {
        String stateId = "";
        int keptTokens = 0;
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> stateId = in.readString();
                case 2 -> keptTokens = in.readNonNegativeInt();
                default -> in.skipField();
            }
        }
        return new PrefillReply(stateId, keptTokens);
    }

    ProtoWriter write() {
        return new ProtoWriter().writeString(1, stateId).writeVarint(2, cachedTokens);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
