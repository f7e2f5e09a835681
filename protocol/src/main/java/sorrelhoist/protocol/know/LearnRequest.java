package sorrelhoist.protocol.know;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * A new router asks a running one what it knows.
 *
 * @param learner who asks
 * @param teacher who is asked
 * @param exchange the exchange's number, never used again
 * @param digest what the learner has
 * @param keyId the key that signed
 * @param tag HMAC-SHA256
 */
public record LearnRequest(
        String learner, String teacher, long exchange, byte[] digest, String keyId, byte[] tag) {
    /** {@return the message in these bytes} */
    public static LearnRequest parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static LearnRequest read(ProtoReader in) throws ProtoException {
        String learner = "";
        String teacher = "";
        long exchange = 0;
        byte[] digest = new byte[0];
        String keyId = "";
        byte[] tag = new byte[0];
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> learner = in.text();
                case 2 -> teacher = in.text();
                case 3 -> exchange = in.integer();
                case 4 -> digest = in.bytes();
                case 5 -> keyId = in.text();
                case 6 -> tag = in.bytes();
                default -> in.skip();
            }
        }
        return new LearnRequest(learner, teacher, exchange, digest, keyId, tag);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .text(1, learner)
                .text(2, teacher)
                .integer(3, exchange)
                .bytes(4, digest)
                .text(5, keyId)
                .bytes(6, tag);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
