package sorrelhoist.core.scheduling;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which background job may run a slice now, and how large the slice is. Requests have
 * priority: while any request waits, a job runs only when it is overdue, and then one slice at a
 * time with a pause after it. This bounds starvation and limits the share of the thread that
 * requests lose.
 *
 * <p>Times are given by the caller, in microseconds. The caller runs the slice and reports its
 * cost; a job that exceeds its budget does not run again until the excess is refilled.
 */
public final class BackgroundScheduler {
    /**
     * A kind of background work.
     *
     * @param name the name in logs
     * @param priority higher values run first
     * @param cpuMicrosPerSecond its CPU budget, in microseconds per second
     * @param bytesPerSecond its I/O budget, in bytes per second
     * @param maxWaitMicros the wait after which the job is overdue and runs before other jobs and
     *     requests, in microseconds
     */
    public record Job(
            String name,
            int priority,
            long cpuMicrosPerSecond,
            long bytesPerSecond,
            long maxWaitMicros) {}

    /**
     * Permission to run a job.
     *
     * @param job the job
     * @param cpuMicros the maximum CPU time, in microseconds
     * @param bytes the maximum number of bytes to read or write
     * @param overdue whether the job runs because it has waited too long
     */
    public record Slice(Job job, long cpuMicros, long bytes, boolean overdue) {}

    /**
     * The maximum CPU time of a slice, in microseconds; a request that arrives meanwhile waits this
     * long at most.
     */
    private static final long MAX_SLICE_MICROS = 2_000;

    /** The maximum CPU time of a slice while requests wait, in microseconds. */
    private static final long MAX_SLICE_BESIDE_REQUESTS_MICROS = 500;

    /**
     * Length of the pause after an overdue slice, as a multiple of its cost; leaves nine tenths of
     * the thread to requests.
     */
    private static final int PAUSE_COST_FACTOR = 9;

    private final List<ScheduledJob> jobs = new ArrayList<>();
    private final TokenBucket sharedCpuMicros;
    private long pausedUntil;
    private ScheduledJob running;

    /**
     * Creates a scheduler without jobs.
     *
     * @param cpuPerSecond the shared CPU budget of all jobs, in microseconds per second
     * @param now the time, in microseconds
     */
    public BackgroundScheduler(long cpuPerSecond, long now) {
        this.sharedCpuMicros = new TokenBucket(cpuPerSecond, now);
    }

    /**
     * Registers a job without work.
     *
     * @param job the job
     * @param now the time, in microseconds
     */
    public void register(Job job, long now) {
        jobs.add(new ScheduledJob(job, now));
    }

    /**
     * Schedules work for a job.
     *
     * @param job a registered job
     * @param at when the work may start, in microseconds
     * @param deadline by when the work should have run; Long.MAX_VALUE for none
     * @throws IllegalArgumentException if the job is not registered
     */
    public void schedule(Job job, long at, long deadline) {
        find(job).addWork(at, deadline);
    }

    /**
     * Selects the next slice.
     *
     * @param now the time, in microseconds
     * @param requestsWait whether requests wait for the thread
     * @return a slice, which has to be reported with {@link #sliceFinished}; null if no job may run
     *     now
     * @throws IllegalStateException if the previous slice was not reported
     */
    public Slice nextSlice(long now, boolean requestsWait) {
        if (running != null) {
            throw new IllegalStateException(
                    running.job().name()
                            + ": the previous slice was not reported with sliceFinished");
        }
        ScheduledJob next = firstRunnable(now);
        if (next == null || !mayRun(next, now, requestsWait)) {
            return null;
        }
        running = next;
        long maxCpuMicros = requestsWait ? MAX_SLICE_BESIDE_REQUESTS_MICROS : MAX_SLICE_MICROS;
        return new Slice(
                next.job(),
                (long) Math.max(1, Math.min(maxCpuMicros, next.availableCpuMicros(now))),
                (long) Math.max(1, next.availableBytes(now)),
                next.isOverdue(now));
    }

    private ScheduledJob firstRunnable(long now) {
        ScheduledJob first = null;
        for (ScheduledJob candidate : jobs) {
            if (candidate.isDue(now)
                    && candidate.hasBudget(now)
                    && (first == null || candidate.hasPrecedenceOver(first, now))) {
                first = candidate;
            }
        }
        return first;
    }

    /**
     * Decides whether a job may run now. An overdue job may overdraw the shared budget; the debt
     * reduces the budget of all jobs.
     */
    private boolean mayRun(ScheduledJob job, long now, boolean requestsWait) {
        if (job.isOverdue(now)) {
            return !requestsWait || now >= pausedUntil;
        }
        return !requestsWait && sharedCpuMicros.available(now) > 0;
    }

    /**
     * Reports the end of the slice that {@link #nextSlice} returned.
     *
     * @param now the time, in microseconds
     * @param cpuMicros the CPU time used, in microseconds
     * @param bytes the number of bytes read or written
     * @param nextWorkAt when the job has more work, in microseconds; Long.MAX_VALUE for none
     * @param deadline by when that work should have run; Long.MAX_VALUE for none
     */
    public void sliceFinished(
            long now, long cpuMicros, long bytes, long nextWorkAt, long deadline) {
        ScheduledJob finished = running;
        running = null;
        finished.sliceFinished(now, cpuMicros, bytes);
        sharedCpuMicros.spend(now, cpuMicros);
        pausedUntil = now + PAUSE_COST_FACTOR * cpuMicros;
        finished.reschedule(nextWorkAt, deadline);
    }

    /**
     * {@return the earliest time at which {@link #nextSlice} may return a slice, as far as is known
     * now, in microseconds; Long.MAX_VALUE for never}
     *
     * @param now the time, in microseconds
     */
    public long nextWakeAt(long now) {
        long wakeAt = Long.MAX_VALUE;
        for (ScheduledJob job : jobs) {
            if (job.hasWork()) {
                long sharedBudgetAt = sharedCpuMicros.nextAvailableAt(now);
                wakeAt = Math.min(wakeAt, job.runnableAt(now, sharedBudgetAt));
            }
        }
        return wakeAt;
    }

    private ScheduledJob find(Job job) {
        return jobs.stream()
                .filter(candidate -> candidate.job().equals(job))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "job " + job.name() + " is not registered"));
    }
}
