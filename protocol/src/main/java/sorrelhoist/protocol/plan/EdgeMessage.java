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
    record Greeting(Hello hello) implements EdgeMessage {}

    /**
     * Asks for a probe.
     *
     * @param engine of which engine
     */
    record ProbeAsk(String engine) implements EdgeMessage {}

    /**
     * A message to other routers.
     *
     * @param to a router's number; -1 for all
     * @param body the message
     */
    record Tell(int to, String body) implements EdgeMessage {}

    /** Asks for the whole roster. */
    record FetchAsk() implements EdgeMessage {}

    /** {@return the message in these bytes, or null where it is of a kind not known yet} */
    static EdgeMessage parse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        EdgeMessage message = null;
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> message = new Greeting(Hello.read(in.message()));
                case 2 -> message = probe(in.message());
                case 3 -> message = tell(in.message());
                case 4 -> {
                    in.skip();
                    message = new FetchAsk();
                }
                default -> in.skip();
            }
        }
        return message;
    }

    private static ProbeAsk probe(ProtoReader in) throws ProtoException {
        String engine = "";
        for (int f = in.next(); f != 0; f = in.next()) {
            if (f == 1) {
                engine = in.text();
            } else {
                in.skip();
            }
        }
        return new ProbeAsk(engine);
    }

    private static Tell tell(ProtoReader in) throws ProtoException {
        long to = 0;
        String body = "";
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> to = in.signed();
                case 2 -> body = in.text();
                default -> in.skip();
            }
        }
        return new Tell((int) to, body);
    }

    /** {@return its bytes} */
    default byte[] bytes() {
        ProtoWriter out = new ProtoWriter(64);
        if (this instanceof Greeting g) {
            out.message(1, g.hello().write());
        } else if (this instanceof ProbeAsk p) {
            out.message(2, new ProtoWriter().text(1, p.engine()));
        } else if (this instanceof Tell t) {
            out.message(3, new ProtoWriter().signed(1, t.to()).text(2, t.body()));
        } else {
            out.message(4, new ProtoWriter());
        }
        return out.done();
    }
}
