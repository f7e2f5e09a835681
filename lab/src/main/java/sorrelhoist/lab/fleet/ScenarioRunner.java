package sorrelhoist.lab.fleet;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sorrelhoist.lab.fleet.ActionSteps.Step;
import sorrelhoist.lab.judge.Judge;
import sorrelhoist.lab.judge.TraceEvent;
import sorrelhoist.lab.judge.Verdict;
import sorrelhoist.lab.load.ClientTraceWriter;
import sorrelhoist.lab.load.OpenLoopLoad;
import sorrelhoist.lab.scenario.Scenario;

/**
 * Runs a scenario against a fleet of processes: its load, its actions when they are due, and the
 * judge at its end.
 */
public final class ScenarioRunner {
    private static final long RANDOM_SALT = 0x5eed;
    private static final int TIMER_THREADS = 4;

    /** What is still held at the end must have been released before the traces are read. */
    private static final long END_PAUSE_MILLIS = 1500;

    private final Scenario scenario;
    private final ProcessFleet fleet;
    private final Consumer<String> output;
    private long startNanos;

    /**
     * Creates a runner.
     *
     * @param scenario what to run
     * @param fleet started
     * @param output takes a line for people whenever something is done to the fleet
     */
    public ScenarioRunner(Scenario scenario, ProcessFleet fleet, Consumer<String> output) {
        this.scenario = scenario;
        this.fleet = fleet;
        this.output = output;
    }

    /**
     * Runs the scenario. Blocks until it is over.
     *
     * @param limits the limits of the judge's rules
     * @return what the judge found
     * @throws IOException if a trace cannot be written or read, or the thread is interrupted
     */
    public Verdict run(Judge.Limits limits) throws IOException {
        List<OpenLoopLoad.PlannedRequest> plan = OpenLoopLoad.plan(scenario, fleet.edgeCount());
        ScheduledExecutorService timer =
                Executors.newScheduledThreadPool(TIMER_THREADS, ScenarioRunner::newTimerThread);
        try (ClientTraceWriter trace =
                new ClientTraceWriter(fleet.traces().resolve("clients.jsonl"), "clients")) {
            startNanos = System.nanoTime();
            scheduleActions(timer, trace);
            OpenLoopLoad.run(plan, fleet::edge, trace, fleet.loops());
            awaitLastAction();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            timer.shutdownNow();
        }
        return Judge.judge(TraceEvent.readAll(fleet.traces()), limits);
    }

    private static Thread newTimerThread(Runnable task) {
        Thread thread = new Thread(task, "faults");
        thread.setDaemon(true);
        return thread;
    }

    private void scheduleActions(ScheduledExecutorService timer, ClientTraceWriter trace) {
        ActionSteps actionSteps =
                new ActionSteps(
                        fleet,
                        new FaultController(fleet, trace, output),
                        new SplittableRandom(scenario.seed() ^ RANDOM_SALT));
        for (Scenario.ScheduledAction action : scenario.actions()) {
            List<Step> steps = actionSteps.of(action);
            schedule(timer, action.at(), steps.get(0));
            if (steps.size() > 1 && action.duration() > 0) {
                schedule(timer, action.at() + action.duration(), steps.get(1));
            }
        }
    }

    private void schedule(ScheduledExecutorService timer, long atMicros, Step step) {
        long elapsed = System.nanoTime() - startNanos;
        long delay = TimeUnit.MICROSECONDS.toNanos(atMicros) - elapsed;
        timer.schedule(() -> run(step), delay, TimeUnit.NANOSECONDS);
    }

    private void run(Step step) {
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        output.accept(String.format("%6.1f s  %s", seconds, step.description()));
        try {
            step.operation().run();
        } catch (IOException e) {
            output.accept("could not: " + e);
        }
    }

    private void awaitLastAction() throws InterruptedException {
        long lastMicros =
                scenario.actions().stream()
                        .mapToLong(action -> action.at() + action.duration())
                        .max()
                        .orElse(0);
        long elapsed = System.nanoTime() - startNanos;
        long left = TimeUnit.MICROSECONDS.toNanos(lastMicros) - elapsed;
        long pause = TimeUnit.MILLISECONDS.toNanos(END_PAUSE_MILLIS);
        TimeUnit.NANOSECONDS.sleep(Math.max(0, left) + pause);
    }

    /**
     * Gives the limits that fit the settings' templates, with room for a busy machine.
     *
     * @param scenario whose classes
     * @param unsafe names of classes that may run only once
     * @return the limits
     */
    public static Judge.Limits limits(Scenario scenario, Set<String> unsafe) {
        Set<Integer> indices = new HashSet<>();
        for (int i = 0; i < scenario.loads().size(); i++) {
            if (unsafe.contains(scenario.loads().get(i).requestClass())) {
                indices.add(i);
            }
        }
        return new Judge.Limits(0, 1_000_000, 500_000, 250_000, indices);
    }
}
