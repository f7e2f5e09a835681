package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;

/**
 * One engine asks another for a prefill state.
 *
 * @param stateId the state's name at the engine that holds it
 * @param requester the engine that asks
 */
public record FetchRequest(@ProtoField(1) String stateId, @ProtoField(2) String requester) {
    static final MessageSchema<FetchRequest> SCHEMA = MessageSchema.of(FetchRequest.class);

    /** {@return the message in these bytes} */
    public static FetchRequest parse(byte[] bytes) throws ProtoException {
        return SCHEMA.parse(bytes);
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return SCHEMA.toByteArray(this);
    }
}
