package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * The answer is whole.
 *
 * @param tokens one more than the last index
 * @param cachedTokens tokens found kept, not read again
 */
public record Finish(int tokens, int cachedTokens) {
    /** {@return the message in these bytes} */
    public static Finish parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static Finish read(ProtoReader in) throws ProtoException {
        int tokens = 0;
        int keptTokens = 0;
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> tokens = in.readNonNegativeInt();
                case 2 -> keptTokens = in.readNonNegativeInt();
                default -> in.skipField();
            }
        }
        return new Finish(tokens, keptTokens);
    }

    ProtoWriter write() {
        return new ProtoWriter().writeVarint(1, tokens).writeVarint(2, cachedTokens);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
