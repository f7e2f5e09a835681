package sorrelhoist.standin.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import sorrelhoist.protocol.engine.*;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.GrpcServer;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Limits;
import sorrelhoist.protocol.net.LoopbackTransport;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.standin.Trace;

/**
 * A stand-in for an engine: reads prompts and writes answers in steps, a step taking longer the
 * more it reads and writes; slots, queue and memory are bounded. Everything runs on one event loop.
 */
public final class EngineStandIn {
    private static final long SWEEP = 500_000;
    private final EngineSettings s;
    private final EventLoop loop;
    private final EventLoopGroup loops;
    private final Trace trace;
    private final Faults faults;
    private final Valve valve = new Valve();
    private final KeptBlocks kept;
    private final long startedAt;
    private final ColdGuard cold;
    private final List<Jobs.Read> reads = new ArrayList<>();
    private final List<Jobs.Write> writes = new ArrayList<>();
    private final List<Jobs.Write> waiting = new ArrayList<>();
    private final Map<String, Jobs.State> states = new LinkedHashMap<>();
    private final Map<String, Jobs.Place> places = new LinkedHashMap<>();
    private final Map<String, GrpcChannel> others = new HashMap<>();
    private Channel listener;
    private Registration registration;
    private Runnable death = () -> Runtime.getRuntime().halt(137);
    private boolean stepping;
    private boolean dead;
    private long names;

    /**
     * Makes an engine; {@link #start} starts it.
     *
     * @param settings what it is
     * @param loops its event loops, of which it takes one
     */
    public EngineStandIn(EngineSettings settings, EventLoopGroup loops) throws IOException {
        this.s = settings;
        this.loops = loops;
        this.loop = loops.next();
        this.trace =
                new Trace(
                        settings.trace().isEmpty() ? null : Path.of(settings.trace()),
                        settings.id());
        this.faults = new Faults(settings.seed());
        this.kept = new KeptBlocks(settings.keptTokens());
        this.startedAt = Trace.now() - (settings.warm() ? TimeUnit.HOURS.toMicros(1) : 0);
        this.cold = new ColdGuard(settings, startedAt);
    }

    /**
     * What happens instead of ending the process where it is told to die; for engines inside a
     * test.
     */
    public EngineStandIn onCrash(Runnable how) {
        death = how;
        return this;
    }

    /** Listens and registers. {@return this} */
    public EngineStandIn start() throws IOException {
        GrpcServer server =
                new GrpcServer(4 << 20)
                        .addMethod(EngineApi.PREFILL, this::prefill)
                        .addMethod(EngineApi.DECODE, this::decode)
                        .addUnaryMethod(EngineApi.RESERVE, this::reserve)
                        .addUnaryMethod(EngineApi.RELEASE, this::release)
                        .addUnaryMethod(
                                EngineApi.PROBE, (call, m) -> reply(call, report().toByteArray()))
                        .addUnaryMethod(EngineApi.FETCH, this::fetch)
                        .addUnaryMethod(EngineControl.PATH, this::control);
        Http2Limits limits = Http2Limits.SERVER.withFloodPoints(50_000, 100_000);
        listener =
                LoopbackTransport.listen(
                        loops,
                        s.port(),
                        () ->
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        valve.new Gate(),
                                                        Http2Connection.server(
                                                                limits,
                                                                server,
                                                                new Http2Connection.Listener() {}));
                                    }
                                });
        trace.line(
                "start",
                "engine",
                s.id(),
                "role",
                s.role(),
                "zone",
                s.zone(),
                "rack",
                s.rack(),
                "port",
                port(),
                "warm",
                s.warm(),
                "coldFrom",
                s.coldFrom(),
                "coldMicros",
                s.coldMicros(),
                "fallMultiple",
                s.fallMultiple(),
                "fallMicros",
                s.fallMicros(),
                "warmSends",
                s.warmSendsPerSecond());
        if (!s.registry().isEmpty()) {
            registration =
                    new Registration(
                            s, loop, LoopbackTransport.LOOPBACK, port(), startedAt / 1000, valve);
            registration.start();
        }
        loop.schedule(this::sweep, SWEEP, TimeUnit.MICROSECONDS);
        return this;
    }

    /** {@return the port it listens on} */
    public int port() {
        return LoopbackTransport.localPort(listener);
    }

    /** Stops listening and forgets everything, as a process that dies does. */
    public void kill() {
        loop.execute(
                () -> {
                    dead = true;
                    if (registration != null) {
                        registration.stop();
                    }
                    listener.close();
                    valve.open();
                    others.values().forEach(GrpcChannel::shutdown);
                });
    }

    // ---- Calls
    // --------------------------------------------------------------------------------------------

    private void reply(ServerCall call, byte[] message) {
        call.send(message);
        call.close(Status.OK, EngineApi.loadReportTrailers(report()));
    }

    private void refuse(ServerCall call, StatusCode code, String why) {
        call.close(new Status(code, why), EngineApi.loadReportTrailers(report()));
    }

    private LoadReport report() {
        long queued = waiting.size() + Math.max(0, reads.size() - s.slots());
        double tokens =
                reads.stream().mapToLong(r -> r.left).sum()
                        + waiting.stream().mapToLong(w -> w.request.promptTokens()).sum();
        return new LoadReport(
                Math.min(1, memory() / (double) s.memoryTokens()),
                tokens,
                reads.size() + writes.size() + waiting.size() + states.size(),
                queued);
    }

    private long memory() {
        return reads.stream().mapToLong(r -> r.request.promptTokens()).sum()
                + states.values().stream().mapToLong(Jobs.State::tokens).sum()
                + places.values().stream().mapToLong(Jobs.Place::tokens).sum()
                + writes.stream().mapToLong(Jobs.Write::tokens).sum();
    }

    /** What stands in the way of one more request, or null. */
    private String full(int inside, int tokens) {
        long now = Trace.now();
        if (cold.sent(now)) {
            trace.line("fell");
            death.run();
        }
        return faults.draining
                ? "draining"
                : inside >= s.slots() + s.queue()
                        ? "slots and queue are full"
                        : memory() + tokens > s.memoryTokens() + (long) s.queue() * tokens
                                ? "memory is full"
                                : null;
    }

    private interface Take<T> {
        void take(T request, ServerCall call) throws ProtoException;
    }

    /** One message in; who cancels afterwards is told of. */
    private ServerCall.Listener one(ServerCall call, Take<byte[]> take, Runnable cancelled) {
        return new ServerCall.Listener() {
            private boolean taken;

            @Override
            public void onMessage(byte[] message) {
                try {
                    if (!taken) {
                        taken = true;
                        take.take(message, call);
                    }
                } catch (ProtoException e) {
                    refuse(call, StatusCode.INVALID_ARGUMENT, e.getMessage());
                }
            }

            @Override
            public void onCancel(String why) {
                cancelled.run();
            }
        };
    }

    private ServerCall.Listener prefill(ServerCall call) {
        Jobs.Read[] job = new Jobs.Read[1];
        return one(
                call,
                (message, c) -> {
                    PrefillRequest r = PrefillRequest.parse(message);
                    trace.line(
                            "prefill",
                            "req",
                            r.requestId(),
                            "client",
                            r.clientId(),
                            "edge",
                            r.edge(),
                            "attempt",
                            r.attempt(),
                            "cls",
                            r.requestClass(),
                            "tokens",
                            r.promptTokens());
                    String full =
                            s.reads()
                                    ? full(reads.size(), r.promptTokens())
                                    : "this engine reads no prompts";
                    if (full != null) {
                        endRead(r, "full");
                        refuse(c, StatusCode.RESOURCE_EXHAUSTED, full);
                    } else if (faults.errorNow(Trace.now())) {
                        endRead(r, "error");
                        refuse(c, StatusCode.INTERNAL, "told to fail");
                    } else {
                        job[0] =
                                new Jobs.Read(
                                        c,
                                        r,
                                        Math.min(kept.match(r.prompt()), r.promptTokens()),
                                        faults.loseNow(Trace.now()));
                        reads.add(job[0]);
                        kick();
                    }
                },
                () -> {
                    if (job[0] != null && reads.remove(job[0])) {
                        endRead(job[0].request, "cancelled");
                    }
                });
    }

    private void endRead(PrefillRequest r, String how) {
        trace.line("prefill_end", "req", r.requestId(), "attempt", r.attempt(), "how", how);
    }

    private ServerCall.Listener decode(ServerCall call) {
        Jobs.Write[] job = new Jobs.Write[1];
        return one(
                call,
                (message, c) -> {
                    DecodeRequest r = DecodeRequest.parse(message);
                    trace.line(
                            "decode",
                            "req",
                            r.requestId(),
                            "client",
                            r.clientId(),
                            "edge",
                            r.edge(),
                            "attempt",
                            r.attempt(),
                            "cls",
                            r.requestClass(),
                            "from",
                            r.firstTokenIndex(),
                            "state",
                            r.stateId());
                    String full =
                            !s.writes()
                                    ? "this engine writes no answers"
                                    : full(writes.size() + waiting.size(), r.promptTokens());
                    boolean alone = r.stateId().isEmpty();
                    Jobs.Place place = places.remove(r.reservationId());
                    if (full != null && place == null) {
                        endWrite(r, "full", 0);
                        refuse(c, StatusCode.RESOURCE_EXHAUSTED, full);
                    } else if (alone && !s.readsItself() && !s.reads()) {
                        endWrite(r, "no state", 0);
                        refuse(
                                c,
                                StatusCode.FAILED_PRECONDITION,
                                "no state to fetch, and this engine reads no prompts");
                    } else if (faults.errorNow(Trace.now())) {
                        endWrite(r, "error", 0);
                        refuse(c, StatusCode.INTERNAL, "told to fail");
                    } else {
                        job[0] = new Jobs.Write(c, r, faults.loseNow(Trace.now()));
                        waiting.add(job[0]);
                        kick();
                    }
                },
                () -> {
                    if (job[0] != null && (waiting.remove(job[0]) | writes.remove(job[0]))) {
                        endWrite(job[0].request, "cancelled", job[0].next);
                        kick();
                    }
                });
    }

    private void endWrite(DecodeRequest r, String how, int tokens) {
        trace.line(
                "decode_end",
                "req",
                r.requestId(),
                "attempt",
                r.attempt(),
                "how",
                how,
                "tokens",
                tokens);
    }

    private void reserve(ServerCall call, byte[] message) {
        try {
            ReserveRequest r = ReserveRequest.parse(message);
            boolean free =
                    s.writes()
                            && !faults.draining
                            && waiting.isEmpty()
                            && writes.size() + places.size() < s.slots()
                            && memory() + r.promptTokens() + r.maxTokens() <= s.memoryTokens();
            String id = free ? s.id() + "-p" + ++names : "";
            if (free) {
                places.put(
                        id,
                        new Jobs.Place(
                                id, r.requestId(), r.promptTokens() + r.maxTokens(), Trace.now()));
            }
            reply(call, new ReserveReply(free, id).toByteArray());
        } catch (ProtoException e) {
            refuse(call, StatusCode.INVALID_ARGUMENT, e.getMessage());
        }
    }

    private void release(ServerCall call, byte[] message) {
        try {
            ReleaseRequest r = ReleaseRequest.parse(message);
            boolean any = places.remove(r.reservationId()) != null;
            for (Jobs.State state : List.copyOf(states.values())) {
                boolean meant =
                        r.stateId().isEmpty() && r.reservationId().isEmpty()
                                ? state.request().equals(r.requestId())
                                        && state.attempt() <= r.lastAttempt()
                                : state.id().equals(r.stateId());
                any |= meant && free(state.id(), "released") != null;
            }
            reply(call, new ReleaseReply(any).toByteArray());
        } catch (ProtoException e) {
            refuse(call, StatusCode.INVALID_ARGUMENT, e.getMessage());
        }
    }

    private Jobs.State free(String id, String how) {
        Jobs.State state = states.remove(id);
        if (state != null) {
            trace.line("freed", "req", state.request(), "state", id, "how", how);
        }
        return state;
    }

    private void fetch(ServerCall call, byte[] message) {
        try {
            Jobs.State state = free(FetchRequest.parse(message).stateId(), "fetched");
            if (state == null) {
                refuse(call, StatusCode.NOT_FOUND, "no such state");
            } else {
                reply(
                        call,
                        new FetchReply(state.tokens(), state.digest(), s.zone() + "/" + s.rack())
                                .toByteArray());
            }
        } catch (ProtoException e) {
            refuse(call, StatusCode.INVALID_ARGUMENT, e.getMessage());
        }
    }

    // ---- Steps
    // --------------------------------------------------------------------------------------------

    private void kick() {
        if (!stepping && !dead && !(reads.isEmpty() && writes.isEmpty() && waiting.isEmpty())) {
            stepping = true;
            admit();
            int budget = s.chunkTokens();
            List<Jobs.Read> reading = reads.subList(0, Math.min(reads.size(), s.slots()));
            int planned = 0;
            for (Jobs.Read r : reading) {
                planned += Math.min(budget - planned, r.left);
            }
            for (Jobs.Write w : writes) {
                planned += Math.min(Math.max(0, budget - planned), w.left);
            }
            long answers = writes.stream().filter(w -> w.ready && w.left == 0).count();
            double micros =
                    s.stepMicros()
                            + planned / s.readPerSecond() * 1e6
                            + answers * s.perAnswerMicros();
            long now = Trace.now();
            long took = (long) (micros * faults.slowness(now) / cold.speed(now));
            boolean idle = planned == 0 && answers == 0;
            loop.schedule(() -> step(idle ? 0 : budget), Math.max(1, took), TimeUnit.MICROSECONDS);
        }
    }

    private void step(int budget) {
        long now = Trace.now();
        if (now < faults.hangUntil) {
            loop.schedule(() -> step(budget), faults.hangUntil - now + 1, TimeUnit.MICROSECONDS);
            return;
        }
        stepping = false;
        int left = budget;
        for (Jobs.Read r : new ArrayList<>(reads.subList(0, Math.min(reads.size(), s.slots())))) {
            int part = Math.min(left, r.left);
            left -= part;
            r.left -= part;
            if (r.left == 0) {
                reads.remove(r);
                readDone(r);
            }
        }
        for (Jobs.Write w : new ArrayList<>(writes)) {
            if (w.left > 0) {
                int part = Math.min(left, w.left);
                left -= part;
                w.left -= part;
            } else if (w.ready && budget > 0) {
                emit(w);
            }
        }
        kick();
    }

    private void readDone(Jobs.Read r) {
        kept.keep(r.request.prompt());
        endRead(r.request, r.lost ? "lost" : "read");
        if (r.lost) {
            return;
        }
        Jobs.State state =
                new Jobs.State(
                        s.id() + "-s" + ++names,
                        r.request.requestId(),
                        r.request.attempt(),
                        r.request.promptTokens(),
                        Words.digest(r.request.clientId(), r.request.prompt()),
                        Trace.now());
        states.put(state.id(), state);
        trace.line(
                "held",
                "req",
                state.request(),
                "client",
                r.request.clientId(),
                "state",
                state.id());
        reply(r.call, new PrefillReply(state.id(), r.kept).toByteArray());
    }

    private void admit() {
        while (!waiting.isEmpty()
                && writes.size() < s.slots()
                && memory() + waiting.get(0).tokens() <= s.memoryTokens()) {
            Jobs.Write w = waiting.remove(0);
            writes.add(w);
            if (w.request.stateId().isEmpty()) {
                int have = kept.match(w.request.prompt());
                w.left = Math.max(1, w.request.promptTokens() - have);
                kept.keep(w.request.prompt());
                w.begin(Words.digest(w.request.clientId(), w.request.prompt()));
            } else {
                fetch(w);
            }
        }
    }

    private void fetch(Jobs.Write w) {
        GrpcChannel reader =
                others.computeIfAbsent(
                        w.request.stateAddress(),
                        a -> new GrpcChannel(loop, a, GrpcChannel.Options.BACKGROUND));
        ClientCall call =
                reader.newCall(
                        EngineApi.FETCH,
                        null,
                        new ClientCall.Listener() {
                            private FetchReply reply;

                            @Override
                            public void onMessage(ClientCall c, byte[] message, int wireBytes) {
                                c.consumeBytes(wireBytes);
                                try {
                                    reply = FetchReply.parse(message);
                                } catch (ProtoException e) {
                                    c.cancel();
                                }
                            }

                            @Override
                            public void onClose(
                                    ClientCall c,
                                    Status status,
                                    Headers trailers,
                                    ClientCall.Termination end) {
                                if (!writes.contains(w)) {
                                    return;
                                }
                                if (!status.isOk() || reply == null) {
                                    writes.remove(w);
                                    endWrite(w.request, "no state", 0);
                                    refuse(
                                            w.call,
                                            StatusCode.FAILED_PRECONDITION,
                                            "the state cannot be fetched: " + status.message());
                                    return;
                                }
                                boolean near = reply.rack().equals(s.zone() + "/" + s.rack());
                                double rate =
                                        near ? s.moveTokensPerSecond() : s.farTokensPerSecond();
                                long took = (long) (reply.promptTokens() / rate * 1e6);
                                loop.schedule(
                                        () -> {
                                            w.begin(reply.digest());
                                            kick();
                                        },
                                        took,
                                        TimeUnit.MICROSECONDS);
                            }
                        });
        call.sendLast(new FetchRequest(w.request.stateId(), s.id()).toByteArray());
        reader.start(call);
    }

    private void emit(Jobs.Write w) {
        if (!w.ran) {
            w.ran = true;
            trace.line(
                    "run",
                    "req",
                    w.request.requestId(),
                    "client",
                    w.request.clientId(),
                    "attempt",
                    w.request.attempt(),
                    "cls",
                    w.request.requestClass(),
                    "from",
                    w.request.firstTokenIndex());
        }
        if (w.lost) {
            writes.remove(w);
            endWrite(w.request, "lost", w.next);
            return;
        }
        if (w.call.pendingBytes() > 32 << 10) {
            return; // its reader is slow: this answer rests, the others go on
        }
        if (w.next < w.total) {
            w.call.send(
                    new DecodeEvent(new Token(w.next, Words.token(w.digest, w.next)), null)
                            .toByteArray());
            w.next++;
        }
        if (w.next >= w.total) {
            writes.remove(w);
            endWrite(w.request, "done", w.next);
            reply(w.call, new DecodeEvent(null, new Finish(w.next, 0)).toByteArray());
        }
    }

    /** Frees what a router left that no longer lives. */
    private void sweep() {
        long before = Trace.now() - s.stateLimitMicros();
        List.copyOf(states.values()).stream()
                .filter(st -> st.at() < before)
                .forEach(st -> free(st.id(), "expired"));
        places.values().removeIf(p -> p.at() < before);
        if (!dead) {
            loop.schedule(this::sweep, SWEEP, TimeUnit.MICROSECONDS);
        }
    }

    // ---- What it is told to suffer
    // -------------------------------------------------------------------------

    private void control(ServerCall call, byte[] message) {
        String result;
        try {
            result = suffer(EngineControl.parse(message));
        } catch (ProtoException | IllegalArgumentException e) {
            refuse(call, StatusCode.INVALID_ARGUMENT, "bad command: " + e.getMessage());
            return;
        }
        reply(call, EngineControl.encode(result));
    }

    /** {@return what was done} */
    private String suffer(String command) {
        String[] w = command.trim().split("\\s+");
        long now = Trace.now();
        trace.line("told", "command", command);
        switch (w[0]) {
            case "die" -> loop.schedule(death, 1, TimeUnit.MILLISECONDS);
            case "hang" -> faults.hangUntil = now + millis(w, 1);
            case "slow" -> faults.slow(Double.parseDouble(w[1]), now + millis(w, 2));
            case "errors" -> faults.errors(Double.parseDouble(w[1]), now + millis(w, 2));
            case "lose" -> faults.lose(Double.parseDouble(w[1]), now + millis(w, 2));
            case "flush" -> kept.flush(Double.parseDouble(w[1]), faults.random);
            case "drain" -> drain(true);
            case "undrain" -> drain(false);
            case "cut" -> {
                valve.shut();
                loop.schedule(valve::open, millis(w, 1), TimeUnit.MICROSECONDS);
            }
            default ->
                    throw new IllegalArgumentException(
                            "unknown: "
                                    + w[0]
                                    + "; known are die, hang MS, slow FACTOR MS, errors SHARE MS,"
                                    + " lose SHARE MS, flush SHARE, drain, undrain, cut MS");
        }
        return "done";
    }

    private void drain(boolean on) {
        if (registration != null) {
            registration.override(on ? "OUT_OF_SERVICE" : "UP");
        } else {
            faults.draining = on;
        }
    }

    private static long millis(String[] words, int at) {
        if (words.length <= at) {
            throw new IllegalArgumentException("a time in milliseconds is missing");
        }
        return 1000 * Long.parseLong(words[at]);
    }
}
