package sorrelhoist.core.scheduling;

import sorrelhoist.core.scheduling.BackgroundScheduler.Job;

/** A registered job with its budgets and due times. */
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

    /** Adds work that may start at {@code at} and should run by {@code newDeadline}. */
    void addWork(long at, long newDeadline) {
        dueAt = Math.min(dueAt, at);
        deadline = Math.min(deadline, newDeadline);
    }

    /** Charges the cost of a finished slice to the budgets. */
    void sliceFinished(long now, long usedCpuMicros, long usedBytes) {
        cpuMicros.spend(now, usedCpuMicros);
        bytes.spend(now, usedBytes);
    }

    /** Replaces the due time and the deadline. */
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

    /**
     * {@return when the job becomes overdue: after its maximum wait, or at its deadline if that is
     * earlier}
     */
    long overdueAt() {
        if (dueAt == NEVER) {
            return NEVER;
        }
        long longestWait = Math.min(job.maxWaitMicros(), NEVER - dueAt);
        return Math.min(deadline, dueAt + longestWait);
    }

    boolean isOverdue(long now) {
        return now >= overdueAt();
    }

    /**
     * {@return whether this job runs before another one} Overdue jobs run before others, ordered by
     * the time since which they are overdue; all others are ordered by priority, then by due time.
     */
    boolean hasPrecedenceOver(ScheduledJob other, long now) {
        boolean overdue = isOverdue(now);
        boolean otherOverdue = other.isOverdue(now);
        if (overdue || otherOverdue) {
            return overdue && (!otherOverdue || overdueAt() < other.overdueAt());
        }
        return job.priority() != other.job.priority()
                ? job.priority() > other.job.priority()
                : dueAt < other.dueAt;
    }

    /**
     * {@return the earliest time at which the job may run, as far as is known now}
     *
     * @param now the time, in microseconds
     * @param sharedBudgetAt when the shared budget of all jobs is available again, in microseconds
     */
    long runnableAt(long now, long sharedBudgetAt) {
        long budgetAt = Math.max(cpuMicros.nextAvailableAt(now), bytes.nextAvailableAt(now));
        long turnAt = Math.min(Math.max(dueAt, sharedBudgetAt), Math.max(overdueAt(), now));
        return Math.max(Math.max(dueAt, now), Math.max(budgetAt, turnAt));
    }
}
