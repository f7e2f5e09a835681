package sorrelhoist.core.scheduling;

import sorrelhoist.core.scheduling.BackgroundScheduler.Job;

/** A registered job: its budgets, and when it is due. */
final class ScheduledJob {
    private static final long NEVER = Long.MAX_VALUE;

    private final Job job;
    private final TokenBucket cpuMicros;
    private final TokenBucket bytes;
    private long dueAt = NEVER;
    private long deadline = NEVER;

    ScheduledJob(Job job, long now) {
        this.job = job;
        this.cpuMicros = new TokenBucket(job.cpuMicrosPerSecond(), now);
        this.bytes = new TokenBucket(job.bytesPerSecond(), now);
    }

    Job job() {
        return job;
    }

    /** There is work from {@code at} on, which should run by {@code newDeadline}. */
    void addWork(long at, long newDeadline) {
        dueAt = Math.min(dueAt, at);
        deadline = Math.min(deadline, newDeadline);
    }

    /** A slice has run. */
    void sliceFinished(long now, long usedCpuMicros, long usedBytes) {
        cpuMicros.spend(now, usedCpuMicros);
        bytes.spend(now, usedBytes);
    }

    /** Sets when there is more work, in place of what was due before. */
    void reschedule(long at, long newDeadline) {
        dueAt = at;
        deadline = newDeadline;
    }

    boolean isDue(long now) {
        return dueAt <= now;
    }

    boolean hasWork() {
        return dueAt < NEVER;
    }

    boolean hasBudget(long now) {
        return availableCpuMicros(now) > 0 && availableBytes(now) > 0;
    }

    double availableCpuMicros(long now) {
        return cpuMicros.available(now);
    }

    double availableBytes(long now) {
        return bytes.available(now);
    }

    /** {@return from when on it goes before everything: its longest wait, or its deadline} */
    long overdueFrom() {
        if (dueAt == NEVER) {
            return NEVER;
        }
        long longestWait = Math.min(job.maxWaitMicros(), NEVER - dueAt);
        return Math.min(deadline, dueAt + longestWait);
    }

    boolean isOverdue(long now) {
        return now >= overdueFrom();
    }

    /** Overdue jobs go by how long they are, others by priority and then by who waits longest. */
    boolean goesBefore(ScheduledJob other, long now) {
        boolean overdue = isOverdue(now);
        boolean otherOverdue = other.isOverdue(now);
        if (overdue || otherOverdue) {
            return overdue && (!otherOverdue || overdueFrom() < other.overdueFrom());
        }
        return job.priority() != other.job.priority()
                ? job.priority() > other.job.priority()
                : dueAt < other.dueAt;
    }

    /**
     * {@return when it may run, as far as is known now}
     *
     * @param now microseconds
     * @param sharedBudgetAt when the budget of all jobs together has something again
     */
    long runnableAt(long now, long sharedBudgetAt) {
        long budgetAt = Math.max(cpuMicros.nextAvailableAt(now), bytes.nextAvailableAt(now));
        long turnAt = Math.min(Math.max(dueAt, sharedBudgetAt), Math.max(overdueFrom(), now));
        return Math.max(Math.max(dueAt, now), Math.max(budgetAt, turnAt));
    }
}
