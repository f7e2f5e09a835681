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
import sorrelhoist.Knowledge;
import sorrelhoist.Routing.ListForm;
import sorrelhoist.Routing.Server;
import sorrelhoist.Routing.ServerState;
import sorrelhoist.core.life.Call;
import sorrelhoist.core.life.Command;
import sorrelhoist.core.life.CommandHandler;
import sorrelhoist.core.life.EngineCommands;
import sorrelhoist.core.life.PlannerCommands;
import sorrelhoist.core.life.Router;
import sorrelhoist.core.life.RouterSettings;
import sorrelhoist.core.record.Tap;
import sorrelhoist.core.sched.Background;

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
    private final Background background = new Background(BACKGROUND_CPU, clock.now());
    private final Map<Background.Job, LongUnaryOperator> jobs = new HashMap<>();
    private long backgroundBytes;
    private long armedFor = Long.MAX_VALUE;
    private volatile int open;
    private volatile boolean ready;

    RouterLoop(RouterSettings settings, Tap tap) {
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
                    open = router.open();
                    arm();
                });
    }

    void submit(Call call, Client client) {
        post(
                r -> {
                    arriving = client;
                    long number = r.arrived(clock.now(), call);
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
                        r.clientGone(clock.now(), number);
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
                        r.clientBlocked(clock.now(), number, blocked);
                    }
                });
    }

    /**
     * Adds background work for this thread.
     *
     * @param job its place
     * @param run runs one slice; takes the time, returns when it is due again
     */
    void background(Background.Job job, LongUnaryOperator run) {
        thread.execute(
                () -> {
                    background.add(job, clock.now());
                    background.due(job, clock.now(), Long.MAX_VALUE);
                    jobs.put(job, run);
                    wakeBackground(background.wakeAt(clock.now()));
                });
    }

    /** On the router's thread: the slice that runs has moved so many bytes. */
    void moved(long bytes) {
        backgroundBytes += bytes;
    }

    /** On the router's thread: a job that was added has work now. */
    void due(Background.Job job) {
        background.due(job, clock.now(), Long.MAX_VALUE);
        wakeBackground(background.wakeAt(clock.now()));
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
        Background.Slice slice = background.next(clock.now(), thread.pendingTasks() > 0);
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
            background.ran(clock.now(), cost, backgroundBytes, again, Long.MAX_VALUE);
            backgroundBytes = 0;
        }
        wakeBackground(background.wakeAt(clock.now()));
    }

    /** On the router's thread: what is known. */
    Knowledge known(int mostKeys) {
        return router.known(clock.now(), mostKeys);
    }

    /** On the router's thread: takes what was taught. */
    void learn(Knowledge taught, long age) {
        router.learn(clock.now(), taught, age);
    }

    void members(ListForm form, List<Server> servers, long now) {
        if (form == ListForm.COMPLETE) {
            serving.replaceAll((id, is) -> false);
        }
        servers.forEach(s -> serving.put(s.id(), s.state() == ServerState.SERVING));
        router.members(now, form, servers);
        ready |= form != ListForm.UNAVAILABLE;
    }

    private void arm() {
        long next = router.nextAlarm();
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
        public void deliver(Command.Deliver command) {
            Client client = clients.get(command.client());
            if (client != null) {
                client.token(command.index(), command.text(), (Runnable) command.ticket());
            }
        }

        @Override
        public void finish(Command.Finish command) {
            Client client = clients.remove(command.client());
            if (client == null) {
                client = arriving;
                arriving = null;
            }
            numbers.remove(client);
            refusals.answered(clock.now(), command.answer());
            client.finish(command.answer());
        }

        @Override
        public void log(Command.Log command) {
            LOG.atInfo()
                    .addKeyValue("event", "decide")
                    .addKeyValue("request", command.request())
                    .log(command.text());
        }

        @Override
        public void violation(Command.Violation command) {
            LOG.atWarn().addKeyValue("event", "violation").log(command.text());
        }

        @Override
        public void read(Command.Read command) {
            engines.read(command);
        }

        @Override
        public void write(Command.Write command) {
            engines.write(command);
        }

        @Override
        public void drop(Command.Drop command) {
            engines.drop(command);
        }

        @Override
        public void reserve(Command.Reserve command) {
            engines.reserve(command);
        }

        @Override
        public void release(Command.Release command) {
            engines.release(command);
        }

        @Override
        public void abandonRelease(Command.AbandonRelease command) {
            engines.abandonRelease(command);
        }

        @Override
        public void releaseExpired(Command.ReleaseExpired command) {
            engines.releaseExpired(command);
        }

        @Override
        public void closeIdle(Command.CloseIdle command) {
            engines.closeIdle(command);
        }

        @Override
        public void probe(Command.Probe command) {
            planner.probe(command);
        }

        @Override
        public void tell(Command.Tell command) {
            planner.tell(command);
        }

        @Override
        public void fetchRoster(Command.FetchRoster command) {
            planner.fetchRoster(command);
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
