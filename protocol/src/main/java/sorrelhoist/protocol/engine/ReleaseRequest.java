package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * Releases a prefill state or a reservation.
 *
 * @param requestId the router's name for the request, unique over all routers and attempts
 * @param stateId the state's name at the engine that holds it
 * @param reservationId the reservation's name
 * @param lastAttempt where neither is named: states of all attempts up to this one are meant
 */
public record ReleaseRequest(
        @ProtoField(1) String requestId,
        @ProtoField(2) String stateId,
        @ProtoField(3) String reservationId,
        @ProtoField(4) int lastAttempt) {
    static final MessageSchema<ReleaseRequest> SCHEMA = MessageSchema.of(ReleaseRequest.class);

    /** {@return the message in these bytes} */
    public static ReleaseRequest parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
