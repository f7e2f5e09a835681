package sorrelhoist.standin.engine;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sorrelhoist.standin.TraceWriter;

/**
 * Runs the engine in steps, as batched inference does: each step prefills a bounded number of
 * prompt tokens and gives every running decode one token. A step takes longer the more it does.
 */
final class StepScheduler {
    /** What scales the time of a step. */
    record Speed(InjectedFaults faults, ColdStartGuard coldStart) {
        /** {@return the time that work takes now, from the time that it takes at full speed} */
        long scale(double micros, long nowMicros) {
            return (long) (micros * faults.slowdown(nowMicros) / coldStart.speed(nowMicros));
        }
    }

    /**
     * What follows from a step.
     *
     * @param prefillCompleted takes prefills that are done and have left the queue
     * @param decodeStarted takes decodes that were given a slot
     * @param tokenDue takes decodes whose next token is due
     */
    record JobHandlers(
            Consumer<PrefillJob> prefillCompleted,
            Consumer<DecodeJob> decodeStarted,
            Consumer<DecodeJob> tokenDue) {}

    private final EngineSettings settings;
    private final EventLoop loop;
    private final WorkQueue queue;
    private final EngineLoad load;
    private final Speed speed;
    private final JobHandlers handlers;
    private boolean stepPending;
    private boolean stopped;

    StepScheduler(
            EngineSettings settings,
            EventLoop loop,
            WorkQueue queue,
            EngineLoad load,
            Speed speed,
            JobHandlers handlers) {
        this.settings = settings;
        this.loop = loop;
        this.queue = queue;
        this.load = load;
        this.speed = speed;
        this.handlers = handlers;
    }

    /** Schedules a step if there is work and no step is pending. */
    void wakeUp() {
        if (stepPending || stopped || queue.isEmpty()) {
            return;
        }
        stepPending = true;
        startWaitingDecodes();
        int budget = settings.chunkTokens();
        int promptTokens = plannedPromptTokens(budget);
        long tokensDue = queue.runningDecodes().stream().filter(DecodeJob::isDecoding).count();
        // A step without work waits for states; what they bring is done in the step after it.
        int stepBudget = promptTokens == 0 && tokensDue == 0 ? 0 : budget;
        long micros = stepMicros(promptTokens, tokensDue);
        loop.schedule(() -> step(stepBudget), Math.max(1, micros), TimeUnit.MICROSECONDS);
    }

    /** Schedules no further steps. */
    void stop() {
        stopped = true;
    }

    private void startWaitingDecodes() {
        DecodeJob next = queue.nextWaiting();
        while (next != null && load.fits(next.memoryTokens())) {
            queue.startNextWaiting();
            handlers.decodeStarted().accept(next);
            next = queue.nextWaiting();
        }
    }

    private int plannedPromptTokens(int budget) {
        int planned = 0;
        for (PrefillJob job : queue.activePrefills()) {
            planned += Math.min(budget - planned, job.remainingTokens());
        }
        for (DecodeJob job : queue.runningDecodes()) {
            planned += Math.min(budget - planned, job.remainingPromptTokens());
        }
        return planned;
    }

    private long stepMicros(int promptTokens, long tokensDue) {
        double micros =
                settings.stepMicros()
                        + promptTokens / settings.readPerSecond() * 1e6
                        + tokensDue * settings.perAnswerMicros();
        return speed.scale(micros, TraceWriter.nowMicros());
    }

    private void step(int budget) {
        long now = TraceWriter.nowMicros();
        long hangUntil = speed.faults().hangUntilMicros();
        if (now < hangUntil) {
            loop.schedule(() -> step(budget), hangUntil - now + 1, TimeUnit.MICROSECONDS);
            return;
        }
        stepPending = false;
        int remaining = stepPrefills(budget);
        stepDecodes(budget, remaining);
        wakeUp();
    }

    private int stepPrefills(int budget) {
        int remaining = budget;
        for (PrefillJob job : queue.activePrefills()) {
            remaining -= job.prefill(remaining);
            if (job.remainingTokens() == 0) {
                queue.remove(job);
                handlers.prefillCompleted().accept(job);
            }
        }
        return remaining;
    }

    private void stepDecodes(int budget, int promptBudget) {
        int remaining = promptBudget;
        for (DecodeJob job : queue.runningDecodes()) {
            if (job.remainingPromptTokens() > 0) {
                remaining -= job.prefill(remaining);
            } else if (job.isReady() && budget > 0) {
                handlers.tokenDue().accept(job);
            }
        }
    }
}
