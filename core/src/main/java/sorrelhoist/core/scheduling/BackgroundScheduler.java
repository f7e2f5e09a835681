package sorrelhoist.core.scheduling;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which background job may run a slice now, and how large the slice is. Requests go first:
 * while any wait, a job runs only once it is overdue, and then one slice at a time with a pause
 * after it, so that starvation is bounded and requests lose a known share at most.
 *
 * <p>Times are its caller's, in microseconds. The caller runs the slice and reports what it cost; a
 * job that overspends pays that back before it runs again.
 */
public final class BackgroundScheduler {
    /**
     * A kind of background work.
     *
     * @param name for logs
     * @param priority higher goes first
     * @param cpuMicrosPerSecond microseconds of CPU that it may use a second
     * @param bytesPerSecond bytes that it may read or write a second
     * @param maxWaitMicros after which it is overdue, and goes before all others and requests
     */
    public record Job(
            String name,
            int priority,
            long cpuMicrosPerSecond,
            long bytesPerSecond,
            long maxWaitMicros) {}

    /**
     * Permission to run.
     *
     * @param job which
     * @param cpuMicros for how long at most
     * @param bytes how much it may read or write at most
     * @param overdue whether it runs because it has waited too long
     */
    public record Slice(Job job, long cpuMicros, long bytes, boolean overdue) {}

    /** Microseconds of CPU: what a request that comes meanwhile waits at most. */
    private static final long MAX_SLICE_MICROS = 2_000;

    /** The same while requests wait. */
    private static final long MAX_SLICE_BESIDE_REQUESTS_MICROS = 500;

    /** Times the cost of an overdue slice: requests keep nine tenths of the thread. */
    private static final int PAUSE_PER_COST = 9;

    private final List<ScheduledJob> jobs = new ArrayList<>();
    private final TokenBucket sharedCpuMicros;
    private long pausedUntil;
    private ScheduledJob running;

    /**
     * Creates a scheduler without jobs.
     *
     * @param cpuPerSecond microseconds of CPU that all jobs together may use a second
     * @param now microseconds
     */
    public BackgroundScheduler(long cpuPerSecond, long now) {
        this.sharedCpuMicros = new TokenBucket(cpuPerSecond, now);
    }

    /**
     * Registers a job, with nothing to do yet.
     *
     * @param job the job
     * @param now microseconds
     */
    public void register(Job job, long now) {
        jobs.add(new ScheduledJob(job, now));
    }

    /**
     * Announces work.
     *
     * @param job a registered job
     * @param at from when on, in microseconds
     * @param deadline by when it should have run; Long.MAX_VALUE for none
     * @throws IllegalArgumentException where the job was not registered
     */
    public void schedule(Job job, long at, long deadline) {
        find(job).addWork(at, deadline);
    }

    /**
     * Asks for the next slice.
     *
     * @param now microseconds
     * @param requestsWait whether requests wait for the thread
     * @return a slice, to be followed by {@link #sliceFinished}; null where nothing may run now
     * @throws IllegalStateException where the slice before was not reported
     */
    public Slice nextSlice(long now, boolean requestsWait) {
        if (running != null) {
            throw new IllegalStateException(
                    running.job().name() + " has not reported what its slice cost");
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
                    && (first == null || candidate.goesBefore(first, now))) {
                first = candidate;
            }
        }
        return first;
    }

    /** An overdue job may overdraw the shared budget; what it takes is paid back by all. */
    private boolean mayRun(ScheduledJob job, long now, boolean requestsWait) {
        if (job.isOverdue(now)) {
            return !requestsWait || now >= pausedUntil;
        }
        return !requestsWait && sharedCpuMicros.available(now) > 0;
    }

    /**
     * Reports the slice that {@link #nextSlice} gave.
     *
     * @param now microseconds
     * @param cpuMicros what it used
     * @param bytes what it read or wrote
     * @param again when the job has more to do; Long.MAX_VALUE for nothing
     * @param deadline by when that should have run; Long.MAX_VALUE for none
     */
    public void sliceFinished(long now, long cpuMicros, long bytes, long again, long deadline) {
        ScheduledJob finished = running;
        running = null;
        finished.sliceFinished(now, cpuMicros, bytes);
        sharedCpuMicros.spend(now, cpuMicros);
        pausedUntil = now + PAUSE_PER_COST * cpuMicros;
        finished.reschedule(again, deadline);
    }

    /**
     * {@return when {@link #nextSlice} may first give something, as far as is known now;
     * Long.MAX_VALUE for never}
     *
     * @param now microseconds
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
                        () -> new IllegalArgumentException("job " + job.name() + " was not added"));
    }
}
