package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * One engine asks another for a state.
 *
 * @param stateId the state's name at the engine that holds it
 * @param by the engine that asks
 */
public record FetchRequest(String stateId, String by) {
    /** {@return the message in these bytes} */
    public static FetchRequest parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static FetchRequest read(ProtoReader in) throws ProtoException {
        String stateId = "";
        String by = "";
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> stateId = in.text();
                case 2 -> by = in.text();
                default -> in.skip();
            }
        }
        return new FetchRequest(stateId, by);
    }

    ProtoWriter write() {
        return new ProtoWriter().text(1, stateId).text(2, by);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
