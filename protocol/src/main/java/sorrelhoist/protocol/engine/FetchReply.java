package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * The state.
 *
 * @param promptTokens tokens in the prompt
 * @param digest of the prompt
 */
public record FetchReply(int promptTokens, long digest) {
    /** {@return the message in these bytes} */
    public static FetchReply parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static FetchReply read(ProtoReader in) throws ProtoException {
        int promptTokens = 0;
        long digest = 0;
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> promptTokens = in.count();
                case 2 -> digest = in.integer();
                default -> in.skip();
            }
        }
        return new FetchReply(promptTokens, digest);
    }

    ProtoWriter write() {
        return new ProtoWriter().integer(1, promptTokens).integer(2, digest);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
