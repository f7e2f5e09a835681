package sorrelhoist.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests priorities, budgets, deadlines and the bound on starvation in virtual time. */
class BackgroundSchedulerTest {
    private static final long SECOND = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;
    private static final BackgroundScheduler.Job LOW =
            new BackgroundScheduler.Job("low", 1, 100_000, 1 << 20, 2 * SECOND);
    private static final BackgroundScheduler.Job HIGH =
            new BackgroundScheduler.Job("high", 5, 100_000, 1 << 20, 5 * SECOND);

    private static BackgroundScheduler scheduler(long cpu, BackgroundScheduler.Job... jobs) {
        BackgroundScheduler scheduler = new BackgroundScheduler(cpu, 0);
        for (BackgroundScheduler.Job job : jobs) {
            scheduler.register(job, 0);
        }
        return scheduler;
    }

    @Test
    void jobDoesNotRunBeforeDueOrWhileRequestsWait() {
        BackgroundScheduler scheduler = scheduler(200_000, LOW);
        assertNull(scheduler.nextSlice(0, false));
        scheduler.schedule(LOW, SECOND, NEVER);
        assertNull(scheduler.nextSlice(SECOND - 1, false));
        assertEquals(SECOND, scheduler.nextWakeAt(0));
        assertNull(scheduler.nextSlice(SECOND, true));
        assertEquals(LOW, scheduler.nextSlice(SECOND, false).job());
    }

    @Test
    void priorityAppliesUntilMaxWaitHasPassed() {
        BackgroundScheduler scheduler = scheduler(500_000, LOW, HIGH);
        scheduler.schedule(LOW, 0, NEVER);
        scheduler.schedule(HIGH, 0, NEVER);
        assertEquals(HIGH, scheduler.nextSlice(1, false).job());
        scheduler.sliceFinished(1, 1000, 10, 2, NEVER);
        assertEquals(HIGH, scheduler.nextSlice(1000, false).job());
        scheduler.sliceFinished(1000, 1000, 10, 1001, NEVER);
        BackgroundScheduler.Slice late = scheduler.nextSlice(2 * SECOND, false);
        assertEquals(LOW, late.job());
        assertTrue(late.overdue());
    }

    @Test
    void deadlinePrecedesPriority() {
        BackgroundScheduler scheduler = scheduler(500_000, LOW, HIGH);
        scheduler.schedule(HIGH, 0, NEVER);
        scheduler.schedule(LOW, 0, 10_000);
        assertEquals(HIGH, scheduler.nextSlice(9_999, false).job());
        scheduler.sliceFinished(9_999, 100, 0, 9_999, NEVER);
        assertEquals(LOW, scheduler.nextSlice(10_000, false).job());
    }

    @Test
    void starvationIsBoundedAndRequestsKeepNineTenths() {
        BackgroundScheduler scheduler = scheduler(500_000, LOW, HIGH);
        scheduler.schedule(LOW, 0, NEVER);
        long used = 0;
        long first = -1;
        for (long now = 0; now < 20 * SECOND; now += 100) {
            BackgroundScheduler.Slice slice = scheduler.nextSlice(now, true);
            if (slice != null) {
                first = first < 0 ? now : first;
                used += slice.cpuMicros();
                scheduler.sliceFinished(now, slice.cpuMicros(), 0, 0, NEVER);
            }
        }
        assertEquals(2 * SECOND, first);
        assertTrue(used <= 18 * SECOND / 9, "used " + used);
        assertTrue(used > SECOND, "used " + used);
    }

    @Test
    void budgetsHoldWhenSlicesOverspend() {
        SplittableRandom random = new SplittableRandom(5);
        BackgroundScheduler scheduler = scheduler(150_000, LOW, HIGH);
        scheduler.schedule(LOW, 0, NEVER);
        scheduler.schedule(HIGH, 0, NEVER);
        long[] cpu = {0, 0};
        long bytes = 0;
        long end = 60 * SECOND;
        for (long now = 0; now < end; ) {
            BackgroundScheduler.Slice slice = scheduler.nextSlice(now, false);
            if (slice == null) {
                long wake = scheduler.nextWakeAt(now);
                assertTrue(wake > now, "nextWakeAt must be later than now if there is no slice");
                now = Math.min(end, wake);
                continue;
            }
            // The cost exceeds the slice, as for work that cannot be cut exactly.
            long cost = slice.cpuMicros() + random.nextLong(3000);
            long size = random.nextLong(40_000);
            cpu[slice.job().equals(LOW) ? 0 : 1] += cost;
            bytes += slice.job().equals(HIGH) ? size : 0;
            now += cost;
            scheduler.sliceFinished(now, cost, size, now, NEVER);
        }
        assertTrue(cpu[0] <= 61 * 100_000 + 10_000, "low used " + cpu[0]);
        assertTrue(cpu[1] <= 61 * 100_000 + 10_000, "high used " + cpu[1]);
        assertTrue(bytes <= 61L * (1 << 20) + 40_000, "high moved " + bytes);
        assertTrue(cpu[0] + cpu[1] > 5 * SECOND, "the jobs used too little: " + (cpu[0] + cpu[1]));
        assertTrue(cpu[0] > 0 && cpu[1] >= cpu[0], cpu[0] + " and " + cpu[1]);
    }

    @Test
    void sliceMustBeReportedBeforeNext() {
        BackgroundScheduler scheduler = scheduler(150_000, LOW);
        scheduler.schedule(LOW, 0, NEVER);
        assertNotNull(scheduler.nextSlice(0, false));
        assertThrows(IllegalStateException.class, () -> scheduler.nextSlice(1, false));
        scheduler.sliceFinished(1, 10, 10, NEVER, NEVER);
        assertNull(scheduler.nextSlice(2, false));
        assertEquals(NEVER, scheduler.nextWakeAt(2));
        assertThrows(IllegalArgumentException.class, () -> scheduler.schedule(HIGH, 0, NEVER));
    }
}
