package sorrelhoist.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Priorities, budgets, deadlines, and the bound on starvation, with time in the test's hands. */
class BackgroundTest {
    private static final long S = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;
    private final BackgroundScheduler.Job low =
            new BackgroundScheduler.Job("low", 1, 100_000, 1 << 20, 2 * S);
    private final BackgroundScheduler.Job high =
            new BackgroundScheduler.Job("high", 5, 100_000, 1 << 20, 5 * S);

    private BackgroundScheduler with(long cpu, BackgroundScheduler.Job... jobs) {
        BackgroundScheduler b = new BackgroundScheduler(cpu, 0);
        for (BackgroundScheduler.Job j : jobs) {
            b.register(j, 0);
        }
        return b;
    }

    @Test
    void nothingRunsBeforeItIsDueOrWhileRequestsWait() {
        BackgroundScheduler b = with(200_000, low);
        assertNull(b.nextSlice(0, false));
        b.schedule(low, S, NEVER);
        assertNull(b.nextSlice(S - 1, false));
        assertEquals(S, b.nextWakeAt(0));
        assertNull(b.nextSlice(S, true));
        assertEquals(low, b.nextSlice(S, false).job());
    }

    @Test
    void priorityDecidesUntilABoundHasPassed() {
        BackgroundScheduler b = with(500_000, low, high);
        b.schedule(low, 0, NEVER);
        b.schedule(high, 0, NEVER);
        assertEquals(high, b.nextSlice(1, false).job());
        b.sliceFinished(1, 1000, 10, 2, NEVER);
        assertEquals(high, b.nextSlice(1000, false).job());
        b.sliceFinished(1000, 1000, 10, 1001, NEVER);
        BackgroundScheduler.Slice late = b.nextSlice(2 * S, false);
        assertEquals(low, late.job());
        assertTrue(late.overdue());
    }

    @Test
    void aDeadlineGoesBeforePriority() {
        BackgroundScheduler b = with(500_000, low, high);
        b.schedule(high, 0, NEVER);
        b.schedule(low, 0, 10_000);
        assertEquals(high, b.nextSlice(9_999, false).job());
        b.sliceFinished(9_999, 100, 0, 9_999, NEVER);
        assertEquals(low, b.nextSlice(10_000, false).job());
    }

    @Test
    void starvationIsBoundedAndRequestsKeepNineTenths() {
        BackgroundScheduler b = with(500_000, low, high);
        b.schedule(low, 0, NEVER);
        long used = 0;
        long first = -1;
        for (long now = 0; now < 20 * S; now += 100) {
            BackgroundScheduler.Slice slice = b.nextSlice(now, true);
            if (slice != null) {
                first = first < 0 ? now : first;
                used += slice.cpuMicros();
                b.sliceFinished(now, slice.cpuMicros(), 0, 0, NEVER);
            }
        }
        assertEquals(2 * S, first);
        assertTrue(used <= 18 * S / 9, "used " + used);
        assertTrue(used > S, "used " + used);
    }

    @Test
    void budgetsHoldWhateverSlicesCost() {
        SplittableRandom random = new SplittableRandom(5);
        BackgroundScheduler b = with(150_000, low, high);
        b.schedule(low, 0, NEVER);
        b.schedule(high, 0, NEVER);
        long[] cpu = {0, 0};
        long bytes = 0;
        long end = 60 * S;
        for (long now = 0; now < end; ) {
            BackgroundScheduler.Slice slice = b.nextSlice(now, false);
            if (slice == null) {
                long wake = b.nextWakeAt(now);
                assertTrue(wake > now, "asked to wake at once and given nothing");
                now = Math.min(end, wake);
                continue;
            }
            // It overspends, as work that cannot be cut exactly does.
            long cost = slice.cpuMicros() + random.nextLong(3000);
            long size = random.nextLong(40_000);
            cpu[slice.job() == low ? 0 : 1] += cost;
            bytes += slice.job() == high ? size : 0;
            now += cost;
            b.sliceFinished(now, cost, size, now, NEVER);
        }
        assertTrue(cpu[0] <= 61 * 100_000 + 10_000, "low used " + cpu[0]);
        assertTrue(cpu[1] <= 61 * 100_000 + 10_000, "high used " + cpu[1]);
        assertTrue(bytes <= 61L * (1 << 20) + 40_000, "high moved " + bytes);
        assertTrue(cpu[0] + cpu[1] > 5 * S, "too little: " + (cpu[0] + cpu[1]));
        assertTrue(cpu[0] > 0 && cpu[1] >= cpu[0], cpu[0] + " and " + cpu[1]);
    }

    @Test
    void aSliceHasToBeReportedBeforeTheNext() {
        BackgroundScheduler b = with(150_000, low);
        b.schedule(low, 0, NEVER);
        assertNotNull(b.nextSlice(0, false));
        assertThrows(IllegalStateException.class, () -> b.nextSlice(1, false));
        b.sliceFinished(1, 10, 10, NEVER, NEVER);
        assertNull(b.nextSlice(2, false));
        assertEquals(NEVER, b.nextWakeAt(2));
        assertThrows(IllegalArgumentException.class, () -> b.schedule(high, 0, NEVER));
    }
}
