package sorrelhoist.standin.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/** The gRPC method by which faults are injected into an engine: a line of text in, a line out. */
public final class EngineControl {
    /** The path of the method. */
    public static final String PATH = "/sorrelhoist.standin.v1.Control/Do";

    private static final int LINE_FIELD = 1;

    private EngineControl() {}

    /** {@return the message that carries a line} */
    public static byte[] encode(String line) {
        return new ProtoWriter().writeString(LINE_FIELD, line).toByteArray();
    }

    static String parse(byte[] message) throws ProtoException {
        ProtoReader in = new ProtoReader(message);
        String line = "";
        for (int field = in.nextField(); field != 0; field = in.nextField()) {
            if (field == LINE_FIELD) {
                line = in.readString();
            } else {
                in.skipField();
            }
        }
        return line;
    }
}
