package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * Lets go of a state or a place.
 *
 * @param requestId the router's name for it, unique over all edges and tries
 * @param stateId the state's name at the engine that holds it
 * @param placeId the place's name
 * @param upTo where neither is named: the last attempt whose state is meant
 */
public record ReleaseRequest(String requestId, String stateId, String placeId, int upTo) {
    /** {@return the message in these bytes} */
    public static ReleaseRequest parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static ReleaseRequest read(ProtoReader in) throws ProtoException {
        String requestId = "";
        String stateId = "";
        String placeId = "";
        int upTo = 0;
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> requestId = in.text();
                case 2 -> stateId = in.text();
                case 3 -> placeId = in.text();
                case 4 -> upTo = in.count();
                default -> in.skip();
            }
        }
        return new ReleaseRequest(requestId, stateId, placeId, upTo);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .text(1, requestId)
                .text(2, stateId)
                .text(3, placeId)
                .integer(4, upTo);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}
