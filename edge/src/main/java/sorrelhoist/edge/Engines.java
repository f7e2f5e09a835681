package sorrelhoist.edge;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.core.request.AttemptId;
import sorrelhoist.core.request.Command;
import sorrelhoist.core.request.EngineCommands;
import sorrelhoist.core.request.InferenceRequest;
import sorrelhoist.protocol.engine.DecodeEvent;
import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.engine.EngineApi;
import sorrelhoist.protocol.engine.Finish;
import sorrelhoist.protocol.engine.LoadReport;
import sorrelhoist.protocol.engine.PrefillReply;
import sorrelhoist.protocol.engine.PrefillRequest;
import sorrelhoist.protocol.engine.ReleaseRequest;
import sorrelhoist.protocol.engine.ReserveReply;
import sorrelhoist.protocol.engine.ReserveRequest;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.GrpcTimeout;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.Routing.Outcome;
import sorrelhoist.routing.Routing.ServerLoad;

/**
 * Carries commands to engines and their answers back. Called on the router's thread; calls run on
 * network threads.
 */
final class Engines implements EngineCommands {
    private static final Logger LOG = LoggerFactory.getLogger(Engines.class);
    private static final long MAX_HOP = 3_600_000_000L;

    private record Flight(GrpcChannel channel, ClientCall call, Object span) {}

    private final String edge;
    private final RouterLoop loop;
    private final EventLoopGroup network;
    private final EngineTable table;
    private final GrpcChannel.Options options;
    private final Tracing tracing;
    private final Map<String, GrpcChannel> channels = new HashMap<>();
    private final Map<AttemptId, Flight> flights = new HashMap<>();
    private final Map<Long, Flight> releases = new HashMap<>();

    Engines(
            String edge,
            RouterLoop loop,
            EventLoopGroup network,
            EngineTable table,
            GrpcChannel.Options options,
            Tracing tracing) {
        this.tracing = tracing;
        this.edge = edge;
        this.loop = loop;
        this.network = network;
        this.table = table;
        this.options = options;
    }

    @Override
    public void cancelAttempt(Command.CancelAttempt command) {
        Flight flight = flights.remove(command.attempt());
        if (flight != null) {
            tracing.attemptEnded(flight.span(), "dropped");
            onNetwork(flight.channel(), flight.call()::cancel);
        }
    }

    @Override
    public void reportExpiredRelease(Command.ReportExpiredRelease command) {
        LOG.atWarn()
                .addKeyValue("event", "release_expired")
                .addKeyValue("request", command.requestName())
                .addKeyValue("engine", command.engine())
                .addKeyValue("calls", command.releaseCalls())
                .log("what is held for a request was not released in time");
    }

    @Override
    public void closeIdleConnections(Command.CloseIdleConnections command) {
        GrpcChannel channel = channel(command.engine());
        if (channel != null) {
            onNetwork(channel, channel::closeIdle);
        }
    }

    private GrpcChannel channel(String engine) {
        String address = table.address(engine);
        GrpcChannel known = channels.get(engine);
        if (address == null || known != null && known.address().equals(address)) {
            return known;
        }
        if (known != null) {
            known.loop().execute(known::shutdown);
        }
        GrpcChannel fresh;
        try {
            fresh = new GrpcChannel(network.next(), address, options);
        } catch (IllegalArgumentException e) {
            LOG.atWarn()
                    .addKeyValue("event", "bad_address")
                    .addKeyValue("engine", engine)
                    .log(e.getMessage());
            return null;
        }
        channels.put(engine, fresh);
        return fresh;
    }

    /**
     * Runs something on a channel's thread, unless that has ended: as the edge stops, releases may
     * still be due.
     */
    private static void onNetwork(GrpcChannel channel, Runnable task) {
        if (channel.loop().isShuttingDown()) {
            return;
        }
        try {
            channel.loop().execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("the network has ended", e);
        }
    }

    private Headers until(long until) {
        long left = until == Long.MAX_VALUE ? MAX_HOP : Math.max(1, until - loop.now());
        return new Headers().add("grpc-timeout", GrpcTimeout.format(left));
    }

    private void fly(
            AttemptId id,
            String engine,
            String path,
            InferenceRequest asked,
            String name,
            long until,
            byte[] request,
            Reason why,
            Answers answers) {
        GrpcChannel channel = channel(engine);
        if (channel == null) {
            loop.post(
                    r ->
                            r.attemptFailed(
                                    loop.now(), id, Outcome.CONNECT_FAILED, 0, ServerLoad.NONE));
            return;
        }
        answers.on = channel.loop();
        Headers metadata = until(until);
        if (asked.previousAttempts() > 0) {
            metadata.add("grpc-previous-rpc-attempts", Integer.toString(asked.previousAttempts()));
        }
        Object span =
                tracing.attempt(
                        asked.attachment(),
                        path.equals(EngineApi.PREFILL) ? "prefill" : "decode",
                        engine,
                        name,
                        id.number(),
                        metadata,
                        why);
        ClientCall call = channel.newCall(path, metadata, answers);
        call.sendLast(request);
        flights.put(id, new Flight(channel, call, span));
        onNetwork(channel, () -> channel.start(call));
    }

    @Override
    public void releaseReservation(Command.ReleaseReservation command) {
        GrpcChannel channel = channel(command.engine());
        if (channel == null) {
            loop.post(r -> r.releaseCompleted(loop.now(), command.releaseId(), false));
            return;
        }
        ClientCall call =
                channel.newCall(
                        EngineApi.RELEASE,
                        until(loop.now() + options.connectTimeoutMicros() * 4),
                        new Unheard() {
                            @Override
                            public void onClose(
                                    ClientCall c,
                                    Status status,
                                    Headers trailers,
                                    ClientCall.Termination end) {
                                boolean done =
                                        end == ClientCall.Termination.STATUS && status.isOk();
                                loop.post(
                                        r -> {
                                            releases.remove(command.releaseId());
                                            r.releaseCompleted(
                                                    loop.now(), command.releaseId(), done);
                                        });
                            }
                        });
        call.sendLast(
                new ReleaseRequest(
                                command.requestName(),
                                command.prefillState(),
                                command.decodeSlot(),
                                command.upToAttempt())
                        .toByteArray());
        releases.put(command.releaseId(), new Flight(channel, call, null));
        onNetwork(channel, () -> channel.start(call));
    }

    @Override
    public void abandonRelease(Command.AbandonRelease command) {
        Flight flight = releases.remove(command.releaseId());
        if (flight != null) {
            onNetwork(flight.channel(), flight.call()::cancel);
        }
    }

    @Override
    public void startPrefill(Command.StartPrefill o) {
        PrefillRequest request =
                new PrefillRequest(
                        o.requestName(),
                        o.request().clientRequestId(),
                        edge,
                        o.attempt().number(),
                        o.prompt(),
                        (int) o.promptTokens(),
                        o.request().maxOutputTokens(),
                        o.request().classIndex());
        fly(
                o.attempt(),
                o.engine(),
                EngineApi.PREFILL,
                o.request(),
                o.requestName(),
                o.deadlineMicros(),
                request.toByteArray(),
                o.reason(),
                new Reading(o.attempt()));
    }

    @Override
    public void startDecode(Command.StartDecode o) {
        boolean alone = o.prefillState() == null;
        String readerAddress = alone ? "" : table.address(o.prefillState().engine());
        DecodeRequest request =
                new DecodeRequest(
                        o.requestName(),
                        o.request().clientRequestId(),
                        edge,
                        o.attempt().number(),
                        alone ? "" : o.prefillState().stateId(),
                        readerAddress,
                        alone ? o.prompt() : "",
                        (int) o.promptTokens(),
                        o.request().maxOutputTokens(),
                        o.firstTokenIndex(),
                        o.decodeSlot(),
                        o.request().classIndex());
        fly(
                o.attempt(),
                o.engine(),
                EngineApi.DECODE,
                o.request(),
                o.requestName(),
                o.deadlineMicros(),
                request.toByteArray(),
                o.reason(),
                new Writing(o.attempt()));
    }

    @Override
    public void reserveDecodeSlot(Command.ReserveDecodeSlot o) {
        GrpcChannel channel = channel(o.engine());
        if (channel == null) {
            return;
        }
        ClientCall call =
                channel.newCall(
                        EngineApi.RESERVE,
                        until(loop.now() + options.connectTimeoutMicros()),
                        new Unheard() {
                            @Override
                            public void onMessage(ClientCall c, byte[] message, int wireBytes) {
                                try {
                                    ReserveReply reply = ReserveReply.parse(message);
                                    loop.post(
                                            r ->
                                                    r.decodeSlotAnswered(
                                                            loop.now(),
                                                            o.requestId(),
                                                            o.engine(),
                                                            reply.reserved(),
                                                            reply.reservationId()));
                                } catch (ProtoException e) {
                                    c.cancel();
                                }
                            }
                        });
        call.sendLast(
                new ReserveRequest(
                                o.requestName(),
                                (int) o.request().promptTokens(),
                                o.request().maxOutputTokens())
                        .toByteArray());
        onNetwork(channel, () -> channel.start(call));
    }

    /** Attempts that are out, for tests and logs; on the router's thread. */
    int flights() {
        return flights.size();
    }

    void stop() {
        channels.values().forEach(c -> c.loop().execute(c::shutdown));
    }

    private static ServerLoad load(Headers trailers) {
        LoadReport r = EngineApi.loadReport(trailers);
        return r == null
                ? ServerLoad.NONE
                : new ServerLoad(
                        r.memoryUtilization(),
                        r.queuedTokens(),
                        r.inFlightRequests(),
                        r.queuedRequests());
    }

    /** For calls whose answer tells nothing. */
    private static class Unheard implements ClientCall.Listener {
        @Override
        public void onMessage(ClientCall call, byte[] message, int wireBytes) {
            call.consumeBytes(wireBytes);
        }

        @Override
        public void onClose(
                ClientCall call, Status status, Headers trailers, ClientCall.Termination end) {
            // Told or not, nothing waits for it.
        }
    }

    /** What the two kinds of attempts have in common: their end. */
    private abstract class Answers implements ClientCall.Listener {
        final AttemptId id;
        EventLoop on;

        Answers(AttemptId id) {
            this.id = id;
        }

        abstract boolean done(long now, sorrelhoist.core.request.Router router, ServerLoad load);

        @Override
        public void onClose(
                ClientCall call, Status status, Headers trailers, ClientCall.Termination end) {
            if (end == ClientCall.Termination.CANCELLED) {
                return; // the router gave it up, and knows
            }
            ServerLoad load = load(trailers);
            loop.post(
                    r -> {
                        Flight flight = flights.remove(id);
                        if (flight == null) {
                            return;
                        }
                        boolean ok = end == ClientCall.Termination.STATUS && status.isOk();
                        Outcome outcome = ok ? Outcome.ERROR : Outcomes.of(status, end);
                        boolean done = ok && done(loop.now(), r, load);
                        tracing.attemptEnded(flight.span(), done ? "DONE" : outcome.toString());
                        if (!done) {
                            boolean noState = Outcomes.isMissingState(status, end);
                            r.attemptFailed(loop.now(), id, outcome, noState ? 1 : 0, load);
                        }
                    });
        }

        /** The engine sent what is no message: it may have run. */
        void nonsense(ClientCall call) {
            call.cancel();
            loop.post(
                    r -> {
                        Flight flight = flights.remove(id);
                        if (flight != null) {
                            tracing.attemptEnded(flight.span(), "nonsense");
                            r.attemptFailed(loop.now(), id, Outcome.ERROR, 0, ServerLoad.NONE);
                        }
                    });
        }
    }

    private final class Reading extends Answers {
        private PrefillReply reply;

        Reading(AttemptId id) {
            super(id);
        }

        @Override
        public void onMessage(ClientCall call, byte[] message, int wireBytes) {
            call.consumeBytes(wireBytes);
            try {
                reply = PrefillReply.parse(message);
            } catch (ProtoException e) {
                nonsense(call);
            }
        }

        @Override
        boolean done(long now, sorrelhoist.core.request.Router router, ServerLoad load) {
            if (reply == null) {
                return false;
            }
            router.prefillCompleted(now, id, reply.stateId(), reply.cachedTokens(), load);
            return true;
        }
    }

    private final class Writing extends Answers {
        private static final int CREDIT_AT = 8 << 10;
        private final AtomicInteger owed = new AtomicInteger();
        private Finish finish;

        Writing(AttemptId id) {
            super(id);
        }

        @Override
        public void onMessage(ClientCall call, byte[] message, int wireBytes) {
            DecodeEvent event;
            try {
                event = DecodeEvent.parse(message);
            } catch (ProtoException e) {
                nonsense(call);
                return;
            }
            if (finish != null) {
                nonsense(call); // tokens after the end
            } else if (event.finish() != null) {
                call.consumeBytes(wireBytes);
                finish = event.finish();
            } else {
                Runnable credit = () -> taken(call, wireBytes);
                loop.post(
                        r ->
                                r.tokenReceived(
                                        loop.now(),
                                        id,
                                        event.token().index(),
                                        event.token().text(),
                                        credit));
            }
        }

        /**
         * The client has room again. Credit is of use in large pieces only: small ones wait for
         * each other.
         */
        private void taken(ClientCall call, int wireBytes) {
            if (owed.addAndGet(wireBytes) >= CREDIT_AT) {
                on.execute(() -> call.consumeBytes(owed.getAndSet(0)));
            }
        }

        @Override
        boolean done(long now, sorrelhoist.core.request.Router router, ServerLoad load) {
            if (finish == null) {
                return false;
            }
            router.tokenStreamCompleted(now, id, finish.tokens(), finish.cachedTokens(), load);
            return true;
        }
    }
}
