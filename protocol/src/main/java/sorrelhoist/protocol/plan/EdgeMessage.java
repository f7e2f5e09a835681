package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.MessageSchema;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoField;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/** A message from a router to its planner. */
public sealed interface EdgeMessage {
    /**
     * The first message of a stream between a router and its planner.
     *
     * @param hello the router's identity
     */
    record Handshake(Hello hello) implements EdgeMessage {
        private static final int FIELD = 1;
    }

    /**
     * Asks for a health check of an engine.
     *
     * @param engine the engine's name
     */
    record ProbeRequest(@ProtoField(1) String engine) implements EdgeMessage {
        private static final int FIELD = 2;
        private static final MessageSchema<ProbeRequest> SCHEMA =
                MessageSchema.of(ProbeRequest.class);
    }

    /**
     * Asks the planner to relay a message to other routers.
     *
     * @param recipient replica index of the receiving router; -1 for all routers
     * @param body the message
     */
    record RelayRequest(
            @ProtoField(value = 1, zigZag = true) int recipient, @ProtoField(2) String body)
            implements EdgeMessage {
        private static final int FIELD = 3;
        private static final MessageSchema<RelayRequest> SCHEMA =
                MessageSchema.of(RelayRequest.class);
    }

    /** Asks for the complete roster. */
    record RosterRequest() implements EdgeMessage {
        private static final int FIELD = 4;
    }

    /** {@return the message decoded from {@code bytes}, or null if its kind is unknown} */
    static EdgeMessage parse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        EdgeMessage message = null;
        for (int field = in.nextField(); field != 0; field = in.nextField()) {
            switch (field) {
                case Handshake.FIELD ->
                        message = new Handshake(Hello.SCHEMA.read(in.readMessage()));
                case ProbeRequest.FIELD -> message = ProbeRequest.SCHEMA.read(in.readMessage());
                case RelayRequest.FIELD -> message = RelayRequest.SCHEMA.read(in.readMessage());
                case RosterRequest.FIELD -> {
                    in.skipField();
                    message = new RosterRequest();
                }
                default -> in.skipField();
            }
        }
        return message;
    }

    /** {@return the encoded message} */
    default byte[] toByteArray() {
        ProtoWriter out = new ProtoWriter();
        if (this instanceof Handshake handshake) {
            out.writeMessage(Handshake.FIELD, Hello.SCHEMA.write(handshake.hello()));
        } else if (this instanceof ProbeRequest request) {
            out.writeMessage(ProbeRequest.FIELD, ProbeRequest.SCHEMA.write(request));
        } else if (this instanceof RelayRequest request) {
            out.writeMessage(RelayRequest.FIELD, RelayRequest.SCHEMA.write(request));
        } else {
            out.writeMessage(RosterRequest.FIELD, new ProtoWriter());
        }
        return out.toByteArray();
    }
}
