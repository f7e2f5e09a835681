package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/** What an edge tells or asks its planner. */
public sealed interface EdgeMessage {
    /**
     * Its first word.
     *
     * @param hello who it is
     */
    record Handshake(Hello hello) implements EdgeMessage {}

    /**
     * Asks for a probe.
     *
     * @param engine of which engine
     */
    record ProbeRequest(String engine) implements EdgeMessage {}

    /**
     * A message to other routers.
     *
     * @param recipient a router's number; -1 for all
     * @param body the message
     */
    record RelayRequest(int recipient, String body) implements EdgeMessage {}

    /** Asks for the whole roster. */
    record RosterRequest() implements EdgeMessage {}

    /** {@return the message in these bytes, or null where it is of a kind not known yet} */
    static EdgeMessage parse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        EdgeMessage message = null;
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> message = new Handshake(Hello.read(in.readMessage()));
                case 2 -> message = probe(in.readMessage());
                case 3 -> message = tell(in.readMessage());
                case 4 -> {
                    in.skipField();
                    message = new RosterRequest();
                }
                default -> in.skipField();
            }
        }
        return message;
    }

    private static ProbeRequest probe(ProtoReader in) throws ProtoException {
        String engine = "";
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            if (f == 1) {
                engine = in.readString();
            } else {
                in.skipField();
            }
        }
        return new ProbeRequest(engine);
    }

    private static RelayRequest tell(ProtoReader in) throws ProtoException {
        long to = 0;
        String body = "";
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> to = in.readZigZag();
                case 2 -> body = in.readString();
                default -> in.skipField();
            }
        }
        return new RelayRequest((int) to, body);
    }

    /** {@return its bytes} */
    default byte[] toByteArray() {
        ProtoWriter out = new ProtoWriter(64);
        if (this instanceof Handshake g) {
            out.writeMessage(1, g.hello().write());
        } else if (this instanceof ProbeRequest p) {
            out.writeMessage(2, new ProtoWriter().writeString(1, p.engine()));
        } else if (this instanceof RelayRequest t) {
            out.writeMessage(
                    3, new ProtoWriter().writeZigZag(1, t.recipient()).writeString(2, t.body()));
        } else {
            out.writeMessage(4, new ProtoWriter());
        }
        return out.toByteArray();
    }
}
