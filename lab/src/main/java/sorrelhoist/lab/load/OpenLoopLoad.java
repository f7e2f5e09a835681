package sorrelhoist.lab.load;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import sorrelhoist.lab.scenario.Scenario;

/**
 * Sends a scenario's requests when they are due, whether or not answers come back: a slow router
 * does not slow the load down, so its delay shows. All is drawn ahead from the scenario's seed.
 */
public final class OpenLoopLoad {
    private static final int TIMER_THREADS = 2;

    /** The clients that send the load. */
    public interface EdgeClients {
        /** {@return the client of the edge with this number, from 0} */
        InferenceClient edge(int number);
    }

    /**
     * One request, drawn ahead.
     *
     * @param at when, microseconds from the start
     * @param classIndex index of its load
     * @param request the request
     * @param edge number of the edge it goes to, from 0
     * @param cancelsAtToken with which piece of text its client cancels, from 1, so that it cancels
     *     in mid-answer however fast the fleet is; 0 for as soon as it has sent; {@link
     *     #NEVER_CANCELS} for never
     */
    public record PlannedRequest(
            long at, int classIndex, ScriptedRequest request, int edge, int cancelsAtToken) {
        /** Of a client that takes its complete answer. */
        public static final int NEVER_CANCELS = -1;
    }

    private OpenLoopLoad() {}

    /**
     * Draws the requests of a scenario.
     *
     * @param scenario the scenario
     * @param edges how many edges there are to send to
     * @return its requests by time
     */
    public static List<PlannedRequest> plan(Scenario scenario, int edges) {
        return new RequestPlanner(scenario, edges).plan();
    }

    /**
     * Sends the requests. Blocks until the last is answered or given up.
     *
     * @param plan what to send
     * @param clients send it
     * @param trace takes what the clients see
     * @param loops event loops of the clients
     */
    public static void run(
            List<PlannedRequest> plan,
            EdgeClients clients,
            ClientTraceWriter trace,
            EventLoopGroup loops) {
        if (plan.isEmpty()) {
            return;
        }
        ScheduledExecutorService timer =
                Executors.newScheduledThreadPool(TIMER_THREADS, OpenLoopLoad::newTimerThread);
        RequestSender sender = new RequestSender(clients, trace);
        AtomicInteger remaining = new AtomicInteger(plan.size());
        CompletableFuture<Void> allEnded = new CompletableFuture<>();
        Runnable ended =
                () -> {
                    if (remaining.decrementAndGet() == 0) {
                        allEnded.complete(null);
                    }
                };
        long start = System.nanoTime();
        for (PlannedRequest request : plan) {
            long elapsed = System.nanoTime() - start;
            long delay = TimeUnit.MICROSECONDS.toNanos(request.at()) - elapsed;
            timer.schedule(
                    () -> sender.send(request).whenComplete((result, failure) -> ended.run()),
                    Math.max(0, delay),
                    TimeUnit.NANOSECONDS);
        }
        allEnded.join();
        timer.shutdownNow();
    }

    private static Thread newTimerThread(Runnable task) {
        Thread thread = new Thread(task, "load");
        thread.setDaemon(true);
        return thread;
    }
}
