package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * A request from one engine to another for a prefill state.
 *
 * @param stateId ID of the state at the engine that holds it
 * @param requester name of the requesting engine
 */
public record FetchRequest(@ProtoField(1) String stateId, @ProtoField(2) String requester) {
    static final MessageSchema<FetchRequest> SCHEMA = MessageSchema.of(FetchRequest.class);

    /** {@return the message decoded from {@code bytes}} */
    public static FetchRequest parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
