package sorrelhoist.planner;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.plan.EdgeMessage;
import sorrelhoist.protocol.plan.Hello;
import sorrelhoist.protocol.plan.Peer;
import sorrelhoist.protocol.plan.PlanEvent;
import sorrelhoist.protocol.protobuf.ProtoException;

/** The stream to one edge. Its state belongs to the planner's event loop. */
final class EdgeSession implements ServerCall.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(EdgeSession.class);
    private static final int MAX_UNSENT_BYTES = 4 << 20;

    private final Planner planner;
    private final ServerCall call;

    /** The edge's name, zone and address; null until the edge has sent its hello message. */
    private Peer peer;

    EdgeSession(Planner planner, ServerCall call) {
        this.planner = planner;
        this.call = call;
    }

    /** Returns the edge's name; null until the edge has sent its hello message. */
    String edge() {
        return peer == null ? null : peer.edge();
    }

    /**
     * Returns the edge as it is announced to other edges; null until the edge has sent its hello
     * message.
     */
    Peer peer() {
        return peer;
    }

    /**
     * Sends an event. An edge that does not read its events is disconnected; it reconnects and then
     * gets the complete endpoint list.
     */
    void send(PlanEvent event) {
        if (call.pendingBytes() > MAX_UNSENT_BYTES) {
            close(new Status(StatusCode.RESOURCE_EXHAUSTED, "the edge does not read its plan"));
        } else {
            call.send(event.toByteArray());
        }
    }

    /** Ends the stream with a status, and detaches the edge. */
    void close(Status status) {
        call.close(status, null);
        disconnected(status.message());
    }

    @Override
    public void onMessage(byte[] bytes) {
        try {
            handle(EdgeMessage.parse(bytes));
        } catch (ProtoException e) {
            close(new Status(StatusCode.INVALID_ARGUMENT, e.getMessage()));
        }
    }

    private void handle(EdgeMessage message) {
        if (message instanceof EdgeMessage.Handshake handshake) {
            helloReceived(handshake.hello());
        } else if (peer == null) {
            close(
                    new Status(
                            StatusCode.INVALID_ARGUMENT,
                            "the first message has to be a hello with the edge's name"));
        } else if (message instanceof EdgeMessage.ProbeRequest probe) {
            planner.probe(this, probe.engine());
        } else if (message instanceof EdgeMessage.RelayRequest relay) {
            planner.relay(this, relay);
        } else if (message instanceof EdgeMessage.RosterRequest) {
            planner.sendRoster(this);
        }
    }

    private void helloReceived(Hello hello) {
        if (peer == null && !hello.edge().isEmpty()) {
            peer = new Peer(hello.edge(), hello.zone(), hello.address());
            planner.edgeAttached(this);
        }
    }

    @Override
    public void onHalfClose() {
        close(Status.OK);
    }

    @Override
    public void onCancel(String reason) {
        disconnected(reason);
    }

    private void disconnected(String reason) {
        if (peer != null) {
            LOG.atInfo()
                    .addKeyValue("event", "edge_detached")
                    .addKeyValue("edge", peer.edge())
                    .log(reason);
            planner.edgeDetached(this);
        }
    }
}
