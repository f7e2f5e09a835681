package sorrelhoist.standin.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * The one method by which a stand-in engine is told what to suffer: a line of text in, a line out.
 */
public final class Control {
    /** Its path. */
    public static final String PATH = "/sorrelhoist.standin.v1.Control/Do";

    private Control() {}

    /** {@return the bytes of a line} */
    public static byte[] bytes(String line) {
        return new ProtoWriter().text(1, line).done();
    }

    static String parse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        String line = "";
        for (int f = in.next(); f != 0; f = in.next()) {
            if (f == 1) {
                line = in.text();
            } else {
                in.skip();
            }
        }
        return line;
    }
}
