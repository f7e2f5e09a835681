package sorrelhoist.standin.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * The one method by which a stand-in engine is told what to suffer: a line of text in, a line out.
 */
public final class EngineControl {
    /** Its path. */
    public static final String PATH = "/sorrelhoist.standin.v1.Control/Do";

    private EngineControl() {}

    /** {@return the bytes of a line} */
    public static byte[] encode(String line) {
        return new ProtoWriter().writeString(1, line).toByteArray();
    }

    static String parse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        String line = "";
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            if (f == 1) {
                line = in.readString();
            } else {
                in.skipField();
            }
        }
        return line;
    }
}
