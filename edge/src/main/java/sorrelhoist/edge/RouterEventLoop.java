package sorrelhoist.edge;

import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.DefaultThreadFactory;
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
import sorrelhoist.core.request.EngineCommands;
import sorrelhoist.core.request.InferenceRequest;
import sorrelhoist.core.request.PlannerCommands;
import sorrelhoist.core.request.Router;
import sorrelhoist.core.request.RouterSettings;
import sorrelhoist.core.scheduling.BackgroundScheduler;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;

/**
 * The one thread on which a router decides, fed by a queue. Network threads hand in what they
 * parsed; the router's commands go back to them. It decides nothing itself.
 */
final class RouterEventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(RouterEventLoop.class);
    private static final long STOP_TIMEOUT_MILLIS = 2000;

    private final DefaultEventExecutor thread =
            new DefaultEventExecutor(new DefaultThreadFactory("router", true));
    private final MonotonicClock clock = new MonotonicClock();
    private final RejectionLog rejections = new RejectionLog();
    private final OpenRequests requests = new OpenRequests();
    private final BackgroundJobs backgroundJobs = new BackgroundJobs(thread, clock);
    private final Map<String, Boolean> serving = new ConcurrentHashMap<>();
    private final Router router;
    private RouterCommandHandler commandHandler;
    private long timerAt = Long.MAX_VALUE;
    private volatile int openRequests;
    private volatile boolean ready;

    RouterEventLoop(RouterSettings settings, DecisionListener listener) {
        this.router = new Router(settings, this::carryOut, listener);
    }

    /** Sets who carries out commands to engines and to the planner; once, before all else. */
    void connect(EngineCommands engines, PlannerCommands planner) {
        commandHandler = new RouterCommandHandler(requests, rejections, clock, engines, planner);
    }

    private void carryOut(Command command) {
        command.accept(commandHandler);
    }

    /** {@return microseconds since 1970 that never go back} */
    long now() {
        return clock.now();
    }

    /** {@return the number of requests without a result, a moment ago} */
    int openRequests() {
        return openRequests;
    }

    /** {@return whether an endpoint list was received} */
    boolean isReady() {
        return ready;
    }

    /** Runs a task with the router on its thread, after the timers that are due. */
    void execute(Consumer<Router> task) {
        thread.execute(
                () -> {
                    try {
                        router.advance(clock.now());
                        task.accept(router);
                    } catch (RuntimeException | Error e) {
                        // One event that fails must not end the thread that serves all requests.
                        LOG.atError()
                                .setCause(e)
                                .addKeyValue("event", "router_error")
                                .log("an event could not be handled");
                    }
                    rejections.logIfDue(clock.now());
                    openRequests = router.metrics().openRequests();
                    scheduleTimer();
                });
    }

    private void scheduleTimer() {
        long next = router.nextTimerAt();
        if (next < timerAt) {
            timerAt = next;
            thread.schedule(
                    () -> {
                        timerAt = Long.MAX_VALUE;
                        execute(r -> {});
                    },
                    Math.max(0, next - clock.now()),
                    TimeUnit.MICROSECONDS);
        }
    }

    /** Submits a client's request. */
    void submit(InferenceRequest request, ResponseListener listener) {
        execute(r -> requests.add(listener, () -> r.requestArrived(clock.now(), request)));
    }

    /** The client of a request has disconnected or cancelled. */
    void clientDisconnected(ResponseListener listener) {
        execute(
                r -> {
                    Long number = requests.remove(listener);
                    if (number != null) {
                        r.clientDisconnected(clock.now(), number);
                    }
                });
    }

    /** The client of a request takes nothing at present, or takes more again. */
    void clientBackpressureChanged(ResponseListener listener, boolean blocked) {
        execute(
                r -> {
                    Long number = requests.number(listener);
                    if (number != null) {
                        r.clientBackpressureChanged(clock.now(), number, blocked);
                    }
                });
    }

    /** Takes an endpoint list or an update of it; on the router's thread. */
    void updateEndpoints(ListUpdateKind kind, List<Server> servers) {
        if (kind == ListUpdateKind.COMPLETE) {
            serving.replaceAll((engine, isServing) -> false);
        }
        servers.forEach(s -> serving.put(s.id(), s.state() == ServerState.SERVING));
        router.endpointsUpdated(clock.now(), kind, servers);
        ready |= kind != ListUpdateKind.UNAVAILABLE;
    }

    /** {@return the state of an engine as it was last listed} */
    EngineServingState servingState(String engine) {
        Boolean isServing = serving.get(engine);
        if (isServing == null) {
            return EngineServingState.UNKNOWN;
        }
        return isServing ? EngineServingState.SERVING : EngineServingState.NOT_SERVING;
    }

    /** {@return what the router knows, with at most so many prefixes; on the router's thread} */
    Knowledge knowledge(int maxPrefixes) {
        return router.exportKnowledge(clock.now(), maxPrefixes);
    }

    /**
     * Takes what was known elsewhere or before; on the router's thread.
     *
     * @param knowledge what was known
     * @param ageMicros how old it is
     */
    void importKnowledge(Knowledge knowledge, long ageMicros) {
        router.importKnowledge(clock.now(), knowledge, ageMicros);
    }

    /**
     * Adds a background job.
     *
     * @param job its name, rank and budget
     * @param slice runs one slice on the router's thread: takes the time, returns when the next is
     *     due, both in microseconds
     */
    void addBackgroundJob(BackgroundScheduler.Job job, LongUnaryOperator slice) {
        backgroundJobs.add(job, slice);
    }

    /** Makes a background job due now; on the router's thread. */
    void scheduleBackgroundJob(BackgroundScheduler.Job job) {
        backgroundJobs.schedule(job);
    }

    /** Counts bytes that the running background slice has moved; on the router's thread. */
    void countBackgroundBytes(long bytes) {
        backgroundJobs.countBytes(bytes);
    }

    /** Runs a task on the router's thread, and waits for it for a limited time. */
    void executeAndWait(Runnable task) {
        thread.submit(task).awaitUninterruptibly(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends the thread. */
    void stop() {
        thread.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
