package sorrelhoist.protocol.statetransfer;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * A new router asks a running one what it knows.
 *
 * @param recipient who asks
 * @param donor who is asked
 * @param exchangeId the exchange's number, never used again
 * @param digest what the learner has
 * @param keyId the key that signed
 * @param mac HMAC-SHA256
 */
public record SnapshotRequest(
        String recipient, String donor, long exchangeId, byte[] digest, String keyId, byte[] mac) {
    /** {@return the message in these bytes} */
    public static SnapshotRequest parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static SnapshotRequest read(ProtoReader in) throws ProtoException {
        String learner = "";
        String teacher = "";
        long exchange = 0;
        byte[] digest = new byte[0];
        String keyId = "";
        byte[] tag = new byte[0];
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> learner = in.readString();
                case 2 -> teacher = in.readString();
                case 3 -> exchange = in.readVarint();
                case 4 -> digest = in.readBytes();
                case 5 -> keyId = in.readString();
                case 6 -> tag = in.readBytes();
                default -> in.skipField();
            }
        }
        return new SnapshotRequest(learner, teacher, exchange, digest, keyId, tag);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .writeString(1, recipient)
                .writeString(2, donor)
                .writeVarint(3, exchangeId)
                .writeBytes(4, digest)
                .writeString(5, keyId)
                .writeBytes(6, mac);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
