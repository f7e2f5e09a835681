package sorrelhoist.protocol.statetransfer;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * A piece of a lesson.
 *
 * @param index place in the lesson, from 0
 * @param payload knowledge
 * @param last whether nothing follows
 * @param keyId the key that signed
 * @param mac HMAC-SHA256
 */
public record SnapshotChunk(int index, byte[] payload, boolean last, String keyId, byte[] mac) {
    /** {@return the message in these bytes} */
    public static SnapshotChunk parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static SnapshotChunk read(ProtoReader in) throws ProtoException {
        int index = 0;
        byte[] payload = new byte[0];
        boolean last = false;
        String keyId = "";
        byte[] tag = new byte[0];
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> index = in.readNonNegativeInt();
                case 2 -> payload = in.readBytes();
                case 3 -> last = in.readBool();
                case 4 -> keyId = in.readString();
                case 5 -> tag = in.readBytes();
                default -> in.skipField();
            }
        }
        return new SnapshotChunk(index, payload, last, keyId, tag);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .writeVarint(1, index)
                .writeBytes(2, payload)
                .writeBool(3, last)
                .writeString(4, keyId)
                .writeBytes(5, mac);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
