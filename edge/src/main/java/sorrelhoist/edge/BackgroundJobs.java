package sorrelhoist.edge;

import io.netty.util.concurrent.SingleThreadEventExecutor;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.scheduling.BackgroundScheduler;

/**
 * Runs background jobs in slices on the router's thread, within a CPU budget and while no event is
 * queued. Its state belongs to that thread.
 */
final class BackgroundJobs {
    private static final Logger LOG = LoggerFactory.getLogger(BackgroundJobs.class);

    /** Budget of all jobs: a tenth of the thread, in microseconds of CPU time per second. */
    private static final long CPU_MICROS_PER_SECOND = 100_000;

    private static final long MIN_DELAY_MICROS = 1000;
    private static final long RETRY_AFTER_FAILURE_MICROS = TimeUnit.SECONDS.toMicros(1);

    private final SingleThreadEventExecutor thread;
    private final MonotonicClock clock;
    private final BackgroundScheduler scheduler;
    private final Map<BackgroundScheduler.Job, LongUnaryOperator> slices = new HashMap<>();
    private long bytesOfSlice;

    BackgroundJobs(SingleThreadEventExecutor thread, MonotonicClock clock) {
        this.thread = thread;
        this.clock = clock;
        this.scheduler = new BackgroundScheduler(CPU_MICROS_PER_SECOND, clock.now());
    }

    /**
     * Adds a job and makes it due now. May be called on any thread.
     *
     * @param job the job's name, priority and budget
     * @param slice runs one slice; takes the current time and returns the time at which the next
     *     slice is due, both in microseconds, or Long.MAX_VALUE if the job waits for {@link
     *     #schedule}
     */
    void add(BackgroundScheduler.Job job, LongUnaryOperator slice) {
        thread.execute(
                () -> {
                    scheduler.register(job, clock.now());
                    slices.put(job, slice);
                    schedule(job);
                });
    }

    /** Makes a job due now. Called on the router's thread. */
    void schedule(BackgroundScheduler.Job job) {
        scheduler.schedule(job, clock.now(), Long.MAX_VALUE);
        wakeForNextSlice();
    }

    /** Charges bytes that the running slice has read or written to its job's budget. */
    void countBytes(long bytes) {
        bytesOfSlice += bytes;
    }

    private void wakeForNextSlice() {
        long wakeAt = scheduler.nextWakeAt(clock.now());
        if (wakeAt < Long.MAX_VALUE) {
            long delay = Math.max(MIN_DELAY_MICROS, wakeAt - clock.now());
            thread.schedule(this::runNextSlice, delay, TimeUnit.MICROSECONDS);
        }
    }

    private void runNextSlice() {
        BackgroundScheduler.Slice slice =
                scheduler.nextSlice(clock.now(), thread.pendingTasks() > 0);
        if (slice != null) {
            long startNanos = System.nanoTime();
            long nextAt = run(slice.job());
            long cpuMicros = (System.nanoTime() - startNanos) / 1000;
            scheduler.sliceFinished(clock.now(), cpuMicros, bytesOfSlice, nextAt, Long.MAX_VALUE);
            bytesOfSlice = 0;
        }
        wakeForNextSlice();
    }

    private long run(BackgroundScheduler.Job job) {
        long retryAt = clock.now() + RETRY_AFTER_FAILURE_MICROS;
        try {
            return slices.get(job).applyAsLong(clock.now());
        } catch (RuntimeException | Error e) {
            // A failing job must not end the thread that serves all requests.
            LOG.atError()
                    .setCause(e)
                    .addKeyValue("event", "background_job_failed")
                    .log("background job {} failed", job.name());
            return retryAt;
        }
    }
}
