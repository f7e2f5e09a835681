package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * The state.
 *
 * @param promptTokens tokens in the prompt
 * @param digest of the prompt
 * @param rack where the reader stands: zone/rack
 */
public record FetchReply(int promptTokens, long digest, String rack) {
    /** {@return the message in these bytes} */
    public static FetchReply parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static FetchReply read(ProtoReader in) throws ProtoException {
        int promptTokens = 0;
        long digest = 0;
        String rack = "";
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> promptTokens = in.readNonNegativeInt();
                case 2 -> digest = in.readVarint();
                case 3 -> rack = in.readString();
                default -> in.skipField();
            }
        }
        return new FetchReply(promptTokens, digest, rack);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .writeVarint(1, promptTokens)
                .writeVarint(2, digest)
                .writeString(3, rack);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
