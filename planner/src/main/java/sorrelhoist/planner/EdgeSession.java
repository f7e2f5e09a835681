package sorrelhoist.planner;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.plan.EdgeMessage;
import sorrelhoist.protocol.plan.Peer;
import sorrelhoist.protocol.plan.PlanEvent;
import sorrelhoist.protocol.protobuf.ProtoException;

/** One edge's stream. */
final class EdgeSession implements ServerCall.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(EdgeSession.class);
    private static final int MAX_BEHIND = 4 << 20;
    private final Planner planner;
    private final ServerCall call;
    private String edge;
    private Peer peer;

    EdgeSession(Planner planner, ServerCall call) {
        this.planner = planner;
        this.call = call;
    }

    String edge() {
        return edge;
    }

    Peer peer() {
        return peer;
    }

    /** Sends an event. An edge that does not read is cut off: it comes back and gets the whole. */
    void send(PlanEvent event) {
        if (call.pendingBytes() > MAX_BEHIND) {
            close(new Status(StatusCode.RESOURCE_EXHAUSTED, "the edge does not read its plan"));
        } else {
            call.send(event.toByteArray());
        }
    }

    void close(Status status) {
        call.close(status, null);
        gone(status.message());
    }

    @Override
    public void onMessage(byte[] bytes) {
        try {
            EdgeMessage message = EdgeMessage.parse(bytes);
            if (message instanceof EdgeMessage.Handshake g) {
                if (edge == null && !g.hello().edge().isEmpty()) {
                    edge = g.hello().edge();
                    peer = new Peer(edge, g.hello().zone(), g.hello().address());
                    planner.attached(this);
                }
            } else if (edge == null) {
                close(
                        new Status(
                                StatusCode.INVALID_ARGUMENT,
                                "the first message has to be a hello with the edge's name"));
            } else if (message instanceof EdgeMessage.ProbeRequest p) {
                planner.probe(this, p.engine());
            } else if (message instanceof EdgeMessage.RelayRequest t) {
                planner.tell(this, t);
            } else if (message instanceof EdgeMessage.RosterRequest) {
                planner.sendRoster(this);
            }
        } catch (ProtoException e) {
            close(new Status(StatusCode.INVALID_ARGUMENT, e.getMessage()));
        }
    }

    @Override
    public void onHalfClose() {
        close(Status.OK);
    }

    @Override
    public void onCancel(String why) {
        gone(why);
    }

    private void gone(String why) {
        if (edge != null) {
            LOG.atInfo().addKeyValue("event", "edge_left").addKeyValue("edge", edge).log(why);
            planner.left(this);
        }
    }
}
