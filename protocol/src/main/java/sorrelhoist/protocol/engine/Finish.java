package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * The answer is whole.
 *
 * @param tokens one more than the last index
 * @param keptTokens tokens found kept, not read again
 */
public record Finish(int tokens, int keptTokens) {
    /** {@return the message in these bytes} */
    public static Finish parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static Finish read(ProtoReader in) throws ProtoException {
        int tokens = 0;
        int keptTokens = 0;
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> tokens = in.count();
                case 2 -> keptTokens = in.count();
                default -> in.skip();
            }
        }
        return new Finish(tokens, keptTokens);
    }

    ProtoWriter write() {
        return new ProtoWriter().integer(1, tokens).integer(2, keptTokens);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
