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
 * Runs a router on a single thread with a task queue. Network threads enqueue the events that they
 * parse, and the router's commands are handed back to them. This class makes no decisions itself.
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
        this.router = new Router(settings, this::handleCommand, listener);
    }

    /**
     * Sets the handlers of commands to engines and to the planner. Has to be called once, before
     * any event is submitted.
     */
    void connect(EngineCommands engines, PlannerCommands planner) {
        commandHandler = new RouterCommandHandler(requests, rejections, clock, engines, planner);
    }

    private void handleCommand(Command command) {
        command.accept(commandHandler);
    }

    /** Returns the current time in microseconds since 1970, which never goes backwards. */
    long now() {
        return clock.now();
    }

    /**
     * Returns the number of requests without a final result, as of the last event that was handled.
     * May be called on any thread.
     */
    int openRequests() {
        return openRequests;
    }

    /** Returns true once an endpoint list has been received. May be called on any thread. */
    boolean isReady() {
        return ready;
    }

    /** Runs the due timers and then a task on the router's thread. May be called on any thread. */
    void execute(Consumer<Router> task) {
        thread.execute(
                () -> {
                    try {
                        router.advance(clock.now());
                        task.accept(router);
                    } catch (RuntimeException | Error e) {
                        // A failing event must not end the thread that serves all requests.
                        LOG.atError()
                                .setCause(e)
                                .addKeyValue("event", "router_error")
                                .log("failed to handle an event on the router's thread");
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

    /** Reports that the client of a request has disconnected or cancelled the call. */
    void clientDisconnected(ResponseListener listener) {
        execute(
                r -> {
                    Long number = requests.remove(listener);
                    if (number != null) {
                        r.clientDisconnected(clock.now(), number);
                    }
                });
    }

    /** Reports that the client of a request has stopped or resumed reading its response. */
    void clientBackpressureChanged(ResponseListener listener, boolean blocked) {
        execute(
                r -> {
                    Long number = requests.number(listener);
                    if (number != null) {
                        r.clientBackpressureChanged(clock.now(), number, blocked);
                    }
                });
    }

    /** Applies an endpoint list or an update of it. Called on the router's thread. */
    void updateEndpoints(ListUpdateKind kind, List<Server> servers) {
        if (kind == ListUpdateKind.COMPLETE) {
            serving.replaceAll((engine, isServing) -> false);
        }
        servers.forEach(s -> serving.put(s.id(), s.state() == ServerState.SERVING));
        router.endpointsUpdated(clock.now(), kind, servers);
        ready |= kind != ListUpdateKind.UNAVAILABLE;
    }

    /**
     * Returns the state of an engine according to the latest endpoint list. May be called on any
     * thread.
     */
    EngineServingState servingState(String engine) {
        Boolean isServing = serving.get(engine);
        if (isServing == null) {
            return EngineServingState.UNKNOWN;
        }
        return isServing ? EngineServingState.SERVING : EngineServingState.NOT_SERVING;
    }

    /**
     * Exports the router's knowledge with at most the given number of prefixes. Called on the
     * router's thread.
     */
    Knowledge knowledge(int maxPrefixes) {
        return router.exportKnowledge(clock.now(), maxPrefixes);
    }

    /**
     * Imports knowledge of another edge or of a former incarnation. Called on the router's thread.
     *
     * @param knowledge the knowledge to import
     * @param ageMicros the age of the knowledge, in microseconds
     */
    void importKnowledge(Knowledge knowledge, long ageMicros) {
        router.importKnowledge(clock.now(), knowledge, ageMicros);
    }

    /**
     * Adds a background job.
     *
     * @param job the job's name, priority and budget
     * @param slice runs one slice on the router's thread; takes the current time and returns the
     *     time at which the next slice is due, both in microseconds, or Long.MAX_VALUE if the job
     *     waits for {@link #scheduleBackgroundJob}
     */
    void addBackgroundJob(BackgroundScheduler.Job job, LongUnaryOperator slice) {
        backgroundJobs.add(job, slice);
    }

    /** Makes a background job due now. Called on the router's thread. */
    void scheduleBackgroundJob(BackgroundScheduler.Job job) {
        backgroundJobs.schedule(job);
    }

    /**
     * Charges bytes that the running background slice has read or written to its job's budget.
     * Called on the router's thread.
     */
    void countBackgroundBytes(long bytes) {
        backgroundJobs.countBytes(bytes);
    }

    /**
     * Runs a task on the router's thread, and waits up to {@link #STOP_TIMEOUT_MILLIS} for its end.
     */
    void executeAndWait(Runnable task) {
        thread.submit(task).awaitUninterruptibly(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Shuts down the router's thread. */
    void stop() {
        thread.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
