package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * One engine asks another for a state.
 *
 * @param stateId the state's name at the engine that holds it
 * @param requester the engine that asks
 */
public record FetchRequest(String stateId, String requester) {
    /** {@return the message in these bytes} */
    public static FetchRequest parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static FetchRequest read(ProtoReader in) throws ProtoException {
        String stateId = "";
        String by = "";
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> stateId = in.readString();
                case 2 -> by = in.readString();
                default -> in.skipField();
            }
        }
        return new FetchRequest(stateId, by);
    }

    ProtoWriter write() {
        return new ProtoWriter().writeString(1, stateId).writeString(2, requester);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
