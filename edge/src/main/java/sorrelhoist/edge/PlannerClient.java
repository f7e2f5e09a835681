package sorrelhoist.edge;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.request.Command;
import sorrelhoist.core.request.PlannerCommands;
import sorrelhoist.core.time.Backoff;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.net.LoopbackTransport;
import sorrelhoist.protocol.plan.EdgeMessage;
import sorrelhoist.protocol.plan.Hello;
import sorrelhoist.protocol.plan.PlanEvent;
import sorrelhoist.protocol.protobuf.ProtoException;

/**
 * The edge's stream to its planner, which is reopened with backoff whenever it ends. While there is
 * no stream, the edge continues with the latest data that it received. Its state belongs to the
 * channel's network thread.
 */
final class PlannerClient implements ClientCall.Listener, PlannerCommands {
    private static final Logger LOG = LoggerFactory.getLogger(PlannerClient.class);
    private static final long MIN_BACKOFF_MICROS = 50_000;
    private static final long MAX_BACKOFF_MICROS = 1_000_000;

    private final EdgeSettings settings;
    private final long incarnation;
    private final GrpcChannel channel;
    private final PlanEventHandler eventHandler;
    private final Backoff backoff;
    private Hello hello;
    private ClientCall call;
    private boolean stopped;

    /**
     * Creates a client. {@link #start} opens the stream.
     *
     * @param settings the edge's settings
     * @param incarnation the edge's incarnation
     * @param network the network thread of the channel
     * @param eventHandler handles the planner's events
     */
    PlannerClient(
            EdgeSettings settings,
            long incarnation,
            EventLoop network,
            PlanEventHandler eventHandler) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.eventHandler = eventHandler;
        this.channel = new GrpcChannel(network, settings.planner(), GrpcChannel.Options.BACKGROUND);
        this.backoff =
                new Backoff(MIN_BACKOFF_MICROS, MAX_BACKOFF_MICROS, settings.seed() ^ incarnation);
    }

    /** Opens the stream, and announces the address at which this edge serves clients and peers. */
    void start(int clientPort) {
        String address = LoopbackTransport.LOOPBACK + ":" + clientPort;
        hello = new Hello(settings.name(), settings.zone(), incarnation, address);
        channel.loop().execute(this::openStream);
    }

    private void openStream() {
        if (!stopped) {
            call = channel.newCall(PlanEvent.ATTACH, null, this);
            call.send(new EdgeMessage.Handshake(hello).toByteArray());
            channel.start(call);
        }
    }

    /** Closes the stream and does not reopen it. */
    void stop() {
        channel.loop()
                .execute(
                        () -> {
                            stopped = true;
                            channel.shutdown();
                        });
    }

    @Override
    public void probeEngine(Command.ProbeEngine command) {
        send(new EdgeMessage.ProbeRequest(command.engine()));
    }

    @Override
    public void sendPeerMessage(Command.SendPeerMessage command) {
        send(new EdgeMessage.RelayRequest(command.recipient(), command.body()));
    }

    @Override
    public void fetchEndpointList(Command.FetchEndpointList command) {
        send(new EdgeMessage.RosterRequest());
    }

    /**
     * Sends a message, or drops it if there is no open stream: the router asks again for what it
     * still needs.
     */
    private void send(EdgeMessage message) {
        channel.loop()
                .execute(
                        () -> {
                            if (call != null && call.isSent() && !call.isClosed()) {
                                call.send(message.toByteArray());
                            }
                        });
    }

    @Override
    public void onMessage(ClientCall c, byte[] message, int wireBytes) {
        c.consumeBytes(wireBytes);
        backoff.reset();
        try {
            eventHandler.handle(PlanEvent.parse(message));
        } catch (ProtoException e) {
            LOG.atWarn()
                    .addKeyValue("event", "malformed_plan_event")
                    .log("received a malformed message from the planner: {}", e.getMessage());
            c.cancel();
        }
    }

    @Override
    public void onClose(
            ClientCall c, Status status, Headers trailers, ClientCall.Termination termination) {
        if (stopped) {
            return;
        }
        long delayMicros = backoff.nextDelayMicros();
        LOG.atWarn()
                .addKeyValue("event", "planner_disconnected")
                .addKeyValue("retry_us", delayMicros)
                .log("planner stream ended or could not be opened, retrying: {}", status.message());
        channel.loop().schedule(this::openStream, delayMicros, TimeUnit.MICROSECONDS);
    }
}
