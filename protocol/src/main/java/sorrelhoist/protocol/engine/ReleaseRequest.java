package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * Releases a prefill state or a reservation.
 *
 * @param requestId the router's ID of the request, unique across all routers and attempts
 * @param stateId ID of the state at the engine that holds it; may be empty
 * @param reservationId ID of the reservation; may be empty
 * @param lastAttempt if both IDs are empty, the states of all attempts up to and including this one
 *     are released
 */
public record ReleaseRequest(
        @ProtoField(1) String requestId,
        @ProtoField(2) String stateId,
        @ProtoField(3) String reservationId,
        @ProtoField(4) int lastAttempt) {
    static final MessageSchema<ReleaseRequest> SCHEMA = MessageSchema.of(ReleaseRequest.class);

    /** {@return the message decoded from {@code bytes}} */
    public static ReleaseRequest parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
