package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * Lets go of a state or a place.
 *
 * @param requestId the router's name for it, unique over all edges and tries
 * @param stateId the state's name at the engine that holds it
 * @param reservationId the place's name
 * @param lastAttempt where neither is named: the last attempt whose state is meant
 */
public record ReleaseRequest(
        String requestId, String stateId, String reservationId, int lastAttempt) {
    /** {@return the message in these bytes} */
    public static ReleaseRequest parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static ReleaseRequest read(ProtoReader in) throws ProtoException {
        String requestId = "";
        String stateId = "";
        String placeId = "";
        int upTo = 0;
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> requestId = in.readString();
                case 2 -> stateId = in.readString();
                case 3 -> placeId = in.readString();
                case 4 -> upTo = in.readNonNegativeInt();
                default -> in.skipField();
            }
        }
        return new ReleaseRequest(requestId, stateId, placeId, upTo);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .writeString(1, requestId)
                .writeString(2, stateId)
                .writeString(3, reservationId)
                .writeVarint(4, lastAttempt);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}
