package sorrelhoist.edge;

import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.core.request.Command;
import sorrelhoist.core.request.CommandHandler;
import sorrelhoist.core.request.EngineCommands;
import sorrelhoist.core.request.InferenceRequest;
import sorrelhoist.core.request.PlannerCommands;
import sorrelhoist.core.request.Router;
import sorrelhoist.core.request.RouterSettings;
import sorrelhoist.core.scheduling.BackgroundScheduler;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Routing.ListUpdateKind;
import sorrelhoist.routing.Routing.Server;
import sorrelhoist.routing.Routing.ServerState;

/**
 * The one thread on which a router decides, fed by a queue. Network threads hand in what they
 * parsed; commands go back to them. It decides nothing itself.
 */
final class RouterLoop {
    private static final Logger LOG = LoggerFactory.getLogger(RouterLoop.class);
    private static final long STOP_MILLIS = 2000;
    private static final long BACKGROUND_CPU =
            100_000; // a tenth of this thread, when no request waits
    private static final long RETRY_MICROS = 1000;

    private final DefaultEventExecutor thread =
            new DefaultEventExecutor(new DefaultThreadFactory("router", true));
    private final Refusals refusals = new Refusals();
    private final Clock clock = new Clock();
    private final Router router;
    private final Map<Long, Client> clients = new HashMap<>();
    private final Map<Client, Long> numbers = new HashMap<>();
    private final Map<String, Boolean> serving = new ConcurrentHashMap<>();
    private Commands commands;
    private Client arriving;
    private final BackgroundScheduler background =
            new BackgroundScheduler(BACKGROUND_CPU, clock.now());
    private final Map<BackgroundScheduler.Job, LongUnaryOperator> jobs = new HashMap<>();
    private long backgroundBytes;
    private long armedFor = Long.MAX_VALUE;
    private volatile int open;
    private volatile boolean ready;

    RouterLoop(RouterSettings settings, DecisionListener tap) {
        this.router = new Router(settings, this::carry, tap);
    }

    /** Sets who carries out what does not concern clients; once, before anything else. */
    void connect(EngineCommands engines, PlannerCommands planner) {
        commands = new Commands(engines, planner);
    }

    long now() {
        return clock.now();
    }

    /** Requests whose clients have no final answer yet, a moment ago. */
    int open() {
        return open;
    }

    /** Whether a roster was heard of. */
    boolean ready() {
        return ready;
    }

    /** Runs something on the router's thread, with what is due before it. */
    void post(Consumer<Router> what) {
        thread.execute(
                () -> {
                    try {
                        router.advance(clock.now());
                        what.accept(router);
                    } catch (RuntimeException | Error e) {
                        // One event that cannot be taken must not end the thread that answers all
                        // the others.
                        LOG.atError()
                                .setCause(e)
                                .addKeyValue("event", "router_fault")
                                .log("an event could not be taken");
                    }
                    refusals.say(clock.now());
                    open = router.metrics().openRequests();
                    arm();
                });
    }

    void submit(InferenceRequest call, Client client) {
        post(
                r -> {
                    arriving = client;
                    long number = r.requestArrived(clock.now(), call);
                    if (arriving != null) {
                        clients.put(number, client);
                        numbers.put(client, number);
                        arriving = null;
                    }
                });
    }

    void gone(Client client) {
        post(
                r -> {
                    Long number = numbers.remove(client);
                    if (number != null) {
                        clients.remove(number);
                        r.clientDisconnected(clock.now(), number);
                    }
                });
    }

    int serving(String engine) {
        Boolean is = serving.get(engine);
        return is == null ? -1 : is ? 1 : 0;
    }

    void blocked(Client client, boolean blocked) {
        post(
                r -> {
                    Long number = numbers.get(client);
                    if (number != null) {
                        r.clientBackpressureChanged(clock.now(), number, blocked);
                    }
                });
    }

    /**
     * Adds background work for this thread.
     *
     * @param job its place
     * @param run runs one slice; takes the time, returns when it is due again
     */
    void background(BackgroundScheduler.Job job, LongUnaryOperator run) {
        thread.execute(
                () -> {
                    background.register(job, clock.now());
                    background.schedule(job, clock.now(), Long.MAX_VALUE);
                    jobs.put(job, run);
                    wakeBackground(background.nextWakeAt(clock.now()));
                });
    }

    /** On the router's thread: the slice that runs has moved so many bytes. */
    void moved(long bytes) {
        backgroundBytes += bytes;
    }

    /** On the router's thread: a job that was added has work now. */
    void due(BackgroundScheduler.Job job) {
        background.schedule(job, clock.now(), Long.MAX_VALUE);
        wakeBackground(background.nextWakeAt(clock.now()));
    }

    private void wakeBackground(long at) {
        if (at < Long.MAX_VALUE) {
            thread.schedule(
                    this::runBackground,
                    Math.max(RETRY_MICROS, at - clock.now()),
                    TimeUnit.MICROSECONDS);
        }
    }

    private void runBackground() {
        BackgroundScheduler.Slice slice =
                background.nextSlice(clock.now(), thread.pendingTasks() > 0);
        if (slice != null) {
            long start = System.nanoTime();
            long again = clock.now() + TimeUnit.SECONDS.toMicros(1);
            try {
                again = jobs.get(slice.job()).applyAsLong(clock.now());
            } catch (RuntimeException | Error e) {
                LOG.atError()
                        .setCause(e)
                        .addKeyValue("event", "background_fault")
                        .log("{} failed", slice.job().name());
            }
            long cost = (System.nanoTime() - start) / 1000;
            background.sliceFinished(clock.now(), cost, backgroundBytes, again, Long.MAX_VALUE);
            backgroundBytes = 0;
        }
        wakeBackground(background.nextWakeAt(clock.now()));
    }

    /** On the router's thread: what is known. */
    Knowledge known(int mostKeys) {
        return router.exportKnowledge(clock.now(), mostKeys);
    }

    /** On the router's thread: takes what was taught. */
    void learn(Knowledge taught, long age) {
        router.importKnowledge(clock.now(), taught, age);
    }

    void members(ListUpdateKind form, List<Server> servers, long now) {
        if (form == ListUpdateKind.COMPLETE) {
            serving.replaceAll((id, is) -> false);
        }
        servers.forEach(s -> serving.put(s.id(), s.state() == ServerState.SERVING));
        router.endpointsUpdated(now, form, servers);
        ready |= form != ListUpdateKind.UNAVAILABLE;
    }

    private void arm() {
        long next = router.nextTimerAt();
        if (next < armedFor) {
            armedFor = next;
            thread.schedule(
                    () -> {
                        armedFor = Long.MAX_VALUE;
                        post(r -> {});
                    },
                    Math.max(0, next - clock.now()),
                    TimeUnit.MICROSECONDS);
        }
    }

    private void carry(Command command) {
        command.accept(commands);
    }

    /** Carries out what concerns clients, and hands the rest to those who do. */
    private final class Commands implements CommandHandler {
        private final EngineCommands engines;
        private final PlannerCommands planner;

        Commands(EngineCommands engines, PlannerCommands planner) {
            this.engines = engines;
            this.planner = planner;
        }

        @Override
        public void deliverToken(Command.DeliverToken command) {
            Client client = clients.get(command.clientId());
            if (client != null) {
                client.token(command.index(), command.text(), (Runnable) command.attachment());
            }
        }

        @Override
        public void finishRequest(Command.FinishRequest command) {
            Client client = clients.remove(command.clientId());
            if (client == null) {
                client = arriving;
                arriving = null;
            }
            numbers.remove(client);
            refusals.answered(clock.now(), command.result());
            client.finish(command.result());
        }

        @Override
        public void writeLog(Command.WriteLog command) {
            LOG.atInfo()
                    .addKeyValue("event", "decide")
                    .addKeyValue("request", command.requestName())
                    .log(command.text());
        }

        @Override
        public void reportViolation(Command.ReportViolation command) {
            LOG.atWarn().addKeyValue("event", "violation").log(command.text());
        }

        @Override
        public void startPrefill(Command.StartPrefill command) {
            engines.startPrefill(command);
        }

        @Override
        public void startDecode(Command.StartDecode command) {
            engines.startDecode(command);
        }

        @Override
        public void cancelAttempt(Command.CancelAttempt command) {
            engines.cancelAttempt(command);
        }

        @Override
        public void reserveDecodeSlot(Command.ReserveDecodeSlot command) {
            engines.reserveDecodeSlot(command);
        }

        @Override
        public void releaseReservation(Command.ReleaseReservation command) {
            engines.releaseReservation(command);
        }

        @Override
        public void abandonRelease(Command.AbandonRelease command) {
            engines.abandonRelease(command);
        }

        @Override
        public void reportExpiredRelease(Command.ReportExpiredRelease command) {
            engines.reportExpiredRelease(command);
        }

        @Override
        public void closeIdleConnections(Command.CloseIdleConnections command) {
            engines.closeIdleConnections(command);
        }

        @Override
        public void probeEngine(Command.ProbeEngine command) {
            planner.probeEngine(command);
        }

        @Override
        public void sendPeerMessage(Command.SendPeerMessage command) {
            planner.sendPeerMessage(command);
        }

        @Override
        public void fetchEndpointList(Command.FetchEndpointList command) {
            planner.fetchEndpointList(command);
        }
    }

    /** Runs something last on the router's thread, and waits for it. */
    void last(Runnable what) {
        thread.submit(what).awaitUninterruptibly(STOP_MILLIS, TimeUnit.MILLISECONDS);
    }

    void stop() {
        thread.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS);
    }
}
