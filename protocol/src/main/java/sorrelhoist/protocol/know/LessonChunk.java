package sorrelhoist.protocol.know;

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
 * @param tag HMAC-SHA256
 */
public record LessonChunk(int index, byte[] payload, boolean last, String keyId, byte[] tag) {
    /** {@return the message in these bytes} */
    public static LessonChunk parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static LessonChunk read(ProtoReader in) throws ProtoException {
        int index = 0;
        byte[] payload = new byte[0];
        boolean last = false;
        String keyId = "";
        byte[] tag = new byte[0];
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> index = in.count();
                case 2 -> payload = in.bytes();
                case 3 -> last = in.flag();
                case 4 -> keyId = in.text();
                case 5 -> tag = in.bytes();
                default -> in.skip();
            }
        }
        return new LessonChunk(index, payload, last, keyId, tag);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .integer(1, index)
                .bytes(2, payload)
                .flag(3, last)
                .text(4, keyId)
                .bytes(5, tag);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
