package sorrelhoist.standin.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import sorrelhoist.protocol.engine.EngineApi;
import sorrelhoist.protocol.grpc.GrpcServer;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Limits;
import sorrelhoist.protocol.net.LoopbackTransport;
import sorrelhoist.standin.TraceWriter;

/**
 * A stand-in for an inference engine. It wires the parts of this package together and owns the
 * listener and the registration. Everything runs on one event loop.
 */
public final class EngineStandIn {
    private static final long EXPIRY_CHECK_MICROS = 500_000;
    private static final int MAX_MESSAGE_BYTES = 4 << 20;
    private static final int FLOOD_POINTS_PER_SECOND = 50_000;
    private static final int FLOOD_POINTS_BURST = 100_000;

    /** A warm engine reports that it started this long ago. */
    private static final long WARM_UPTIME_MICROS = TimeUnit.HOURS.toMicros(1);

    /** The exit status of a process that was ended by SIGKILL. */
    private static final int KILLED_EXIT_STATUS = 137;

    private final EngineSettings settings;
    private final EventLoop loop;
    private final EventLoopGroup loops;
    private final EngineTrace trace;
    private final NetworkPartition partition = new NetworkPartition();
    private final InjectedFaults faults;
    private final ColdStartGuard coldStart;
    private final long startedAtMicros;
    private final WorkQueue queue;
    private final PrefillStateStore states;
    private final SlotReservations reservations = new SlotReservations();
    private final PrefixCache prefixCache;
    private final IdSequence ids;
    private final EngineLoad load;
    private final CallResponder responder;
    private final AdmissionController admission;
    private final RemoteStateFetcher stateFetcher;
    private final PrefillService prefillService;
    private final DecodeService decodeService;
    private final StepScheduler scheduler;
    private Channel listener;
    private RegistrationClient registration;
    private Runnable crashAction = () -> Runtime.getRuntime().halt(KILLED_EXIT_STATUS);
    private boolean killed;

    /**
     * Creates an engine; {@link #start} starts it.
     *
     * @param settings its configuration
     * @param loops event loops, of which it uses one
     * @throws IOException if the trace file cannot be opened
     */
    public EngineStandIn(EngineSettings settings, EventLoopGroup loops) throws IOException {
        this.settings = settings;
        this.loops = loops;
        this.loop = loops.next();
        Path traceFile = settings.trace().isEmpty() ? null : Path.of(settings.trace());
        trace = new EngineTrace(new TraceWriter(traceFile, settings.id()));
        faults = new InjectedFaults(settings.seed());
        prefixCache = new PrefixCache(settings.keptTokens());
        startedAtMicros = TraceWriter.nowMicros() - (settings.warm() ? WARM_UPTIME_MICROS : 0);
        coldStart = new ColdStartGuard(settings, startedAtMicros);
        queue = new WorkQueue(settings.slots());
        ids = new IdSequence(settings.id());
        states = new PrefillStateStore(trace);
        load = new EngineLoad(settings, queue, states, reservations);
        responder = new CallResponder(load);
        admission =
                new AdmissionController(
                        settings, load, coldStart, faults, this::crashByColdOverload);
        stateFetcher = new RemoteStateFetcher(settings, loop);
        prefillService = newPrefillService();
        decodeService = newDecodeService();
        scheduler = newStepScheduler();
    }

    private PrefillService newPrefillService() {
        return new PrefillService(
                settings,
                new PrefillService.State(queue, states, prefixCache, ids),
                admission,
                faults,
                responder,
                trace,
                this::wakeUp);
    }

    private DecodeService newDecodeService() {
        return new DecodeService(
                settings,
                new DecodeService.State(queue, reservations, prefixCache, stateFetcher),
                admission,
                faults,
                responder,
                trace,
                this::wakeUp);
    }

    private StepScheduler newStepScheduler() {
        return new StepScheduler(
                settings,
                loop,
                queue,
                load,
                new StepScheduler.Speed(faults, coldStart),
                new StepScheduler.JobHandlers(
                        prefillService::complete, decodeService::begin, decodeService::emitToken));
    }

    /**
     * Replaces what a crash does, which is to halt the process unless this is called.
     *
     * @param action run in place of halting; for engines inside a test
     * @return this engine
     */
    public EngineStandIn onCrash(Runnable action) {
        crashAction = action;
        return this;
    }

    /**
     * Starts to listen and registers with the registry if one is configured.
     *
     * @return this engine
     * @throws IOException if the port cannot be bound
     */
    public EngineStandIn start() throws IOException {
        listener = listen();
        trace.started(settings, port());
        if (!settings.registry().isEmpty()) {
            registration =
                    new RegistrationClient(
                            settings,
                            loop,
                            LoopbackTransport.LOOPBACK,
                            port(),
                            startedAtMicros,
                            partition);
            registration.start();
        }
        loop.schedule(this::expireAbandoned, EXPIRY_CHECK_MICROS, TimeUnit.MICROSECONDS);
        return this;
    }

    private Channel listen() throws IOException {
        GrpcServer server = newServer();
        Http2Limits limits =
                Http2Limits.SERVER.withFrameCostLimits(FLOOD_POINTS_PER_SECOND, FLOOD_POINTS_BURST);
        return LoopbackTransport.listen(
                loops,
                settings.port(),
                () ->
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                partition.newHandler(),
                                                Http2Connection.server(
                                                        limits,
                                                        server,
                                                        new Http2Connection.Listener() {}));
                            }
                        });
    }

    private GrpcServer newServer() {
        ReservationService reservationService =
                new ReservationService(
                        settings,
                        new ReservationService.State(states, reservations, ids),
                        load,
                        queue,
                        faults,
                        responder);
        ControlCommandHandler controlHandler =
                new ControlCommandHandler(
                        loop,
                        new ControlCommandHandler.Targets(faults, partition, prefixCache),
                        responder,
                        trace,
                        this::setDraining,
                        this::crash);
        return new GrpcServer(MAX_MESSAGE_BYTES)
                .addMethod(EngineApi.PREFILL, prefillService::accept)
                .addMethod(EngineApi.DECODE, decodeService::accept)
                .addUnaryMethod(EngineApi.RESERVE, reservationService::reserve)
                .addUnaryMethod(EngineApi.RELEASE, reservationService::release)
                .addUnaryMethod(EngineApi.PROBE, (call, message) -> responder.replyWithLoad(call))
                .addUnaryMethod(EngineApi.FETCH, reservationService::fetch)
                .addUnaryMethod(EngineControl.PATH, controlHandler::handle);
    }

    /** {@return the port it listens on} */
    public int port() {
        return LoopbackTransport.localPort(listener);
    }

    /** Stops listening and drops all connections, as the end of its process would. */
    public void kill() {
        loop.execute(
                () -> {
                    killed = true;
                    scheduler.stop();
                    if (registration != null) {
                        registration.stop();
                    }
                    listener.close();
                    partition.end();
                    stateFetcher.close();
                });
    }

    private void wakeUp() {
        scheduler.wakeUp();
    }

    private void crash() {
        crashAction.run();
    }

    private void crashByColdOverload() {
        trace.overloadedCold();
        crash();
    }

    /**
     * The registry tells routers that the engine drains; without one it rejects requests itself.
     */
    private void setDraining(boolean draining) {
        if (registration != null) {
            registration.override(draining ? "OUT_OF_SERVICE" : "UP");
        } else {
            faults.setDraining(draining);
        }
    }

    /** Frees what a router left behind that no longer runs. */
    private void expireAbandoned() {
        long limit = TraceWriter.nowMicros() - settings.stateLimitMicros();
        states.expireOlderThan(limit);
        reservations.expireOlderThan(limit);
        if (!killed) {
            loop.schedule(this::expireAbandoned, EXPIRY_CHECK_MICROS, TimeUnit.MICROSECONDS);
        }
    }
}
