package sorrelhoist.core.scheduling;

import java.util.ArrayList;
import java.util.List;

/**
 * Gives background work its place: which job may run a slice now, and how much of it. Requests go
 * first: while any wait, a job runs only if it has waited longer than its bound, and then one slice
 * at a time with a pause after it, so that starvation is bounded and requests lose a known share at
 * most.
 *
 * <p>Time is the caller's, in microseconds. The caller runs the slice and reports what it cost; a
 * job that overspends pays it back before it runs again.
 */
public final class BackgroundScheduler {
    /**
     * A kind of work.
     *
     * @param name for logs
     * @param priority higher goes first
     * @param cpuMicrosPerSecond microseconds of CPU that it may use a second
     * @param bytesPerSecond bytes that it may read or write a second
     * @param maxWaitMicros after which it goes before all others, and before requests
     */
    public record Job(
            String name,
            int priority,
            long cpuMicrosPerSecond,
            long bytesPerSecond,
            long maxWaitMicros) {}

    /**
     * Leave to run.
     *
     * @param job which
     * @param cpuMicros for how long at most
     * @param bytes how much at most
     * @param overdue whether it runs because its bound has passed
     */
    public record Slice(Job job, long cpuMicros, long bytes, boolean overdue) {}

    private static final class Entry {
        final Job job;
        final Allowance cpu;
        final Allowance bytes;
        long dueAt = Long.MAX_VALUE;
        long deadline = Long.MAX_VALUE;

        Entry(Job job, long now) {
            this.job = job;
            this.cpu = new Allowance(job.cpuMicrosPerSecond(), now);
            this.bytes = new Allowance(job.bytesPerSecond(), now);
        }

        boolean affordable(long now) {
            return cpu.left(now) > 0 && bytes.left(now) > 0;
        }

        /** From when on it goes before everything: its bound after it was due, or its deadline. */
        long lateFrom() {
            return dueAt == Long.MAX_VALUE
                    ? Long.MAX_VALUE
                    : Math.min(
                            deadline,
                            dueAt + Math.min(job.maxWaitMicros(), Long.MAX_VALUE - dueAt));
        }
    }

    private static final long SLICE =
            2_000; // of CPU: what a request that comes meanwhile waits at most
    private static final long LATE_SLICE = 500; // while requests wait
    private static final int PAUSE =
            9; // times a late slice's cost: requests keep nine tenths of the thread
    private final List<Entry> entries = new ArrayList<>();
    private final Allowance cpu;
    private long lateAgainAt;
    private Entry running;

    /**
     * Makes it without jobs.
     *
     * @param cpuPerSecond microseconds of CPU that all jobs together may use a second
     * @param now microseconds
     */
    public BackgroundScheduler(long cpuPerSecond, long now) {
        this.cpu = new Allowance(cpuPerSecond, now);
    }

    /** Adds a kind of work, with nothing to do yet. */
    public void register(Job job, long now) {
        entries.add(new Entry(job, now));
    }

    /**
     * There is work.
     *
     * @param job which
     * @param at from when on
     * @param deadline by when it should have run; Long.MAX_VALUE for none
     */
    public void schedule(Job job, long at, long deadline) {
        Entry e = entry(job);
        e.dueAt = Math.min(e.dueAt, at);
        e.deadline = Math.min(e.deadline, deadline);
    }

    /**
     * Asks for the next slice.
     *
     * @param now microseconds
     * @param requestsWait whether requests wait for the thread
     * @return a slice, to be followed by {@link #sliceFinished}; null where nothing may run now
     */
    public Slice nextSlice(long now, boolean requestsWait) {
        if (running != null) {
            throw new IllegalStateException(
                    running.job.name() + " has not reported what its slice cost");
        }
        Entry best = null;
        for (Entry e : entries) {
            if (e.dueAt <= now && e.affordable(now) && (best == null || before(e, best, now))) {
                best = e;
            }
        }
        if (best == null) {
            return null;
        }
        boolean late = now >= best.lateFrom();
        // The shared budget binds work in its turn; what is late may overdraw it, and pays back.
        if (late ? requestsWait && now < lateAgainAt : requestsWait || cpu.left(now) <= 0) {
            return null;
        }
        running = best;
        long most = requestsWait ? LATE_SLICE : SLICE;
        return new Slice(
                best.job,
                (long) Math.max(1, Math.min(most, best.cpu.left(now))),
                (long) Math.max(1, best.bytes.left(now)),
                late);
    }

    /** Late work by how late it is, then priority, then who has waited longest. */
    private static boolean before(Entry a, Entry b, long now) {
        boolean aLate = now >= a.lateFrom();
        boolean bLate = now >= b.lateFrom();
        if (aLate || bLate) {
            return aLate && (!bLate || a.lateFrom() < b.lateFrom());
        }
        return a.job.priority() != b.job.priority()
                ? a.job.priority() > b.job.priority()
                : a.dueAt < b.dueAt;
    }

    /**
     * A slice has run.
     *
     * @param now microseconds
     * @param cpuMicros what it used
     * @param bytes what it read or wrote
     * @param again when the job has more to do; Long.MAX_VALUE for nothing
     * @param deadline by when that should have run; Long.MAX_VALUE for none
     */
    public void sliceFinished(long now, long cpuMicros, long bytes, long again, long deadline) {
        Entry e = running;
        running = null;
        e.cpu.spend(now, cpuMicros);
        e.bytes.spend(now, bytes);
        cpu.spend(now, cpuMicros);
        lateAgainAt = now + PAUSE * cpuMicros;
        e.dueAt = again;
        e.deadline = deadline;
    }

    /**
     * {@return when {@link #nextSlice} may first give something, as far as is known now;
     * Long.MAX_VALUE for never}
     */
    public long nextWakeAt(long now) {
        long wake = Long.MAX_VALUE;
        for (Entry e : entries) {
            if (e.dueAt < Long.MAX_VALUE) {
                long free = Math.max(e.cpu.freeAt(now), e.bytes.freeAt(now));
                long turn =
                        Math.min(Math.max(e.dueAt, cpu.freeAt(now)), Math.max(e.lateFrom(), now));
                wake = Math.min(wake, Math.max(Math.max(e.dueAt, now), Math.max(free, turn)));
            }
        }
        return wake;
    }

    private Entry entry(Job job) {
        return entries.stream()
                .filter(e -> e.job.equals(job))
                .findFirst()
                .orElseThrow(
                        () -> new IllegalArgumentException("job " + job.name() + " was not added"));
    }
}
