package sorrelhoist.edge;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.Reason;
import sorrelhoist.Routing.Load;
import sorrelhoist.Routing.Outcome;
import sorrelhoist.core.life.AttemptId;
import sorrelhoist.core.life.Call;
import sorrelhoist.core.life.Command;
import sorrelhoist.core.life.EngineCommands;
import sorrelhoist.core.members.EngineTable;
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
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.Timeouts;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.protobuf.ProtoException;

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
    public void drop(Command.Drop command) {
        Flight flight = flights.remove(command.attempt());
        if (flight != null) {
            tracing.attemptEnded(flight.span(), "dropped");
            onNetwork(flight.channel(), flight.call()::cancel);
        }
    }

    @Override
    public void releaseExpired(Command.ReleaseExpired command) {
        LOG.atWarn()
                .addKeyValue("event", "release_expired")
                .addKeyValue("request", command.name())
                .addKeyValue("engine", command.engine())
                .addKeyValue("calls", command.calls())
                .log("what is held for a request was not released in time");
    }

    @Override
    public void closeIdle(Command.CloseIdle command) {
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
            known.loop().execute(known::shut);
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
        return new Headers().add("grpc-timeout", Timeouts.format(left));
    }

    private void fly(
            AttemptId id,
            String engine,
            String path,
            Call asked,
            String name,
            long until,
            byte[] request,
            Reason why,
            Answers answers) {
        GrpcChannel channel = channel(engine);
        if (channel == null) {
            loop.post(r -> r.attemptLost(loop.now(), id, Outcome.CONNECT_FAILED, 0, Load.NONE));
            return;
        }
        answers.on = channel.loop();
        Headers metadata = until(until);
        if (asked.previousAttempts() > 0) {
            metadata.add("grpc-previous-rpc-attempts", Integer.toString(asked.previousAttempts()));
        }
        Object span =
                tracing.attempt(
                        asked.trace(),
                        path.equals(EngineApi.PREFILL) ? "prefill" : "decode",
                        engine,
                        name,
                        id.number(),
                        metadata,
                        why);
        ClientCall call = channel.call(path, metadata, answers);
        call.sendLast(request);
        flights.put(id, new Flight(channel, call, span));
        onNetwork(channel, () -> channel.start(call));
    }

    @Override
    public void release(Command.Release command) {
        GrpcChannel channel = channel(command.engine());
        if (channel == null) {
            loop.post(r -> r.releaseEnded(loop.now(), command.id(), false));
            return;
        }
        ClientCall call =
                channel.call(
                        EngineApi.RELEASE,
                        until(loop.now() + options.dialMicros() * 4),
                        new Unheard() {
                            @Override
                            public void closed(
                                    ClientCall c,
                                    Status status,
                                    Headers trailers,
                                    ClientCall.End end) {
                                boolean done = end == ClientCall.End.STATUS && status.isOk();
                                loop.post(
                                        r -> {
                                            releases.remove(command.id());
                                            r.releaseEnded(loop.now(), command.id(), done);
                                        });
                            }
                        });
        call.sendLast(
                new ReleaseRequest(command.name(), command.state(), command.place(), command.upTo())
                        .bytes());
        releases.put(command.id(), new Flight(channel, call, null));
        onNetwork(channel, () -> channel.start(call));
    }

    @Override
    public void abandonRelease(Command.AbandonRelease command) {
        Flight flight = releases.remove(command.id());
        if (flight != null) {
            onNetwork(flight.channel(), flight.call()::cancel);
        }
    }

    @Override
    public void read(Command.Read o) {
        PrefillRequest request =
                new PrefillRequest(
                        o.name(),
                        o.call().clientId(),
                        edge,
                        o.attempt().number(),
                        o.prompt(),
                        (int) o.promptTokens(),
                        o.call().maxTokens(),
                        o.call().cls());
        fly(
                o.attempt(),
                o.engine(),
                EngineApi.PREFILL,
                o.call(),
                o.name(),
                o.until(),
                request.bytes(),
                o.why(),
                new Reading(o.attempt()));
    }

    @Override
    public void write(Command.Write o) {
        boolean alone = o.state() == null;
        String readerAddress = alone ? "" : table.address(o.state().engine());
        DecodeRequest request =
                new DecodeRequest(
                        o.name(),
                        o.call().clientId(),
                        edge,
                        o.attempt().number(),
                        alone ? "" : o.state().state(),
                        readerAddress,
                        alone ? o.prompt() : "",
                        (int) o.promptTokens(),
                        o.call().maxTokens(),
                        o.fromToken(),
                        o.place(),
                        o.call().cls());
        fly(
                o.attempt(),
                o.engine(),
                EngineApi.DECODE,
                o.call(),
                o.name(),
                o.until(),
                request.bytes(),
                o.why(),
                new Writing(o.attempt()));
    }

    @Override
    public void reserve(Command.Reserve o) {
        GrpcChannel channel = channel(o.engine());
        if (channel == null) {
            return;
        }
        ClientCall call =
                channel.call(
                        EngineApi.RESERVE,
                        until(loop.now() + options.dialMicros()),
                        new Unheard() {
                            @Override
                            public void message(ClientCall c, byte[] message, int wireBytes) {
                                try {
                                    ReserveReply reply = ReserveReply.parse(message);
                                    loop.post(
                                            r ->
                                                    r.placeAnswered(
                                                            loop.now(),
                                                            o.request(),
                                                            o.engine(),
                                                            reply.held(),
                                                            reply.placeId()));
                                } catch (ProtoException e) {
                                    c.cancel();
                                }
                            }
                        });
        call.sendLast(
                new ReserveRequest(o.name(), (int) o.call().promptTokens(), o.call().maxTokens())
                        .bytes());
        onNetwork(channel, () -> channel.start(call));
    }

    /** Attempts that are out, for tests and logs; on the router's thread. */
    int flights() {
        return flights.size();
    }

    void stop() {
        channels.values().forEach(c -> c.loop().execute(c::shut));
    }

    private static Load load(Headers trailers) {
        LoadReport r = EngineApi.load(trailers);
        return r == null
                ? Load.NONE
                : new Load(r.memoryShare(), r.waitingTokens(), r.held(), r.queued());
    }

    /** For calls whose answer tells nothing. */
    private static class Unheard implements ClientCall.Listener {
        @Override
        public void message(ClientCall call, byte[] message, int wireBytes) {
            call.credit(wireBytes);
        }

        @Override
        public void closed(ClientCall call, Status status, Headers trailers, ClientCall.End end) {
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

        abstract boolean done(long now, sorrelhoist.core.life.Router router, Load load);

        @Override
        public void closed(ClientCall call, Status status, Headers trailers, ClientCall.End end) {
            if (end == ClientCall.End.CANCELLED) {
                return; // the router gave it up, and knows
            }
            Load load = load(trailers);
            loop.post(
                    r -> {
                        Flight flight = flights.remove(id);
                        if (flight == null) {
                            return;
                        }
                        boolean ok = end == ClientCall.End.STATUS && status.isOk();
                        Outcome outcome = ok ? Outcome.ERROR : Outcomes.of(status, end);
                        boolean done = ok && done(loop.now(), r, load);
                        tracing.attemptEnded(flight.span(), done ? "DONE" : outcome.toString());
                        if (!done) {
                            boolean noState = Outcomes.isMissingState(status, end);
                            r.attemptLost(loop.now(), id, outcome, noState ? 1 : 0, load);
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
                            r.attemptLost(loop.now(), id, Outcome.ERROR, 0, Load.NONE);
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
        public void message(ClientCall call, byte[] message, int wireBytes) {
            call.credit(wireBytes);
            try {
                reply = PrefillReply.parse(message);
            } catch (ProtoException e) {
                nonsense(call);
            }
        }

        @Override
        boolean done(long now, sorrelhoist.core.life.Router router, Load load) {
            if (reply == null) {
                return false;
            }
            router.readDone(now, id, reply.stateId(), reply.keptTokens(), load);
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
        public void message(ClientCall call, byte[] message, int wireBytes) {
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
                call.credit(wireBytes);
                finish = event.finish();
            } else {
                Runnable credit = () -> taken(call, wireBytes);
                loop.post(
                        r ->
                                r.token(
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
                on.execute(() -> call.credit(owed.getAndSet(0)));
            }
        }

        @Override
        boolean done(long now, sorrelhoist.core.life.Router router, Load load) {
            if (finish == null) {
                return false;
            }
            router.streamDone(now, id, finish.tokens(), finish.keptTokens(), load);
            return true;
        }
    }
}
