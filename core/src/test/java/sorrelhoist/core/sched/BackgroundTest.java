package sorrelhoist.core.sched;

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
    private final Background.Job low = new Background.Job("low", 1, 100_000, 1 << 20, 2 * S);
    private final Background.Job high = new Background.Job("high", 5, 100_000, 1 << 20, 5 * S);

    private Background with(long cpu, Background.Job... jobs) {
        Background b = new Background(cpu, 0);
        for (Background.Job j : jobs) {
            b.add(j, 0);
        }
        return b;
    }

    @Test
    void nothingRunsBeforeItIsDueOrWhileRequestsWait() {
        Background b = with(200_000, low);
        assertNull(b.next(0, false));
        b.due(low, S, NEVER);
        assertNull(b.next(S - 1, false));
        assertEquals(S, b.wakeAt(0));
        assertNull(b.next(S, true));
        assertEquals(low, b.next(S, false).job());
    }

    @Test
    void priorityDecidesUntilABoundHasPassed() {
        Background b = with(500_000, low, high);
        b.due(low, 0, NEVER);
        b.due(high, 0, NEVER);
        assertEquals(high, b.next(1, false).job());
        b.ran(1, 1000, 10, 2, NEVER);
        assertEquals(high, b.next(1000, false).job());
        b.ran(1000, 1000, 10, 1001, NEVER);
        Background.Slice late = b.next(2 * S, false);
        assertEquals(low, late.job());
        assertTrue(late.late());
    }

    @Test
    void aDeadlineGoesBeforePriority() {
        Background b = with(500_000, low, high);
        b.due(high, 0, NEVER);
        b.due(low, 0, 10_000);
        assertEquals(high, b.next(9_999, false).job());
        b.ran(9_999, 100, 0, 9_999, NEVER);
        assertEquals(low, b.next(10_000, false).job());
    }

    @Test
    void starvationIsBoundedAndRequestsKeepNineTenths() {
        Background b = with(500_000, low, high);
        b.due(low, 0, NEVER);
        long used = 0;
        long first = -1;
        for (long now = 0; now < 20 * S; now += 100) {
            Background.Slice slice = b.next(now, true);
            if (slice != null) {
                first = first < 0 ? now : first;
                used += slice.cpuMicros();
                b.ran(now, slice.cpuMicros(), 0, 0, NEVER);
            }
        }
        assertEquals(2 * S, first);
        assertTrue(used <= 18 * S / 9, "used " + used);
        assertTrue(used > S, "used " + used);
    }

    @Test
    void budgetsHoldWhateverSlicesCost() {
        SplittableRandom random = new SplittableRandom(5);
        Background b = with(150_000, low, high);
        b.due(low, 0, NEVER);
        b.due(high, 0, NEVER);
        long[] cpu = {0, 0};
        long bytes = 0;
        long end = 60 * S;
        for (long now = 0; now < end; ) {
            Background.Slice slice = b.next(now, false);
            if (slice == null) {
                long wake = b.wakeAt(now);
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
            b.ran(now, cost, size, now, NEVER);
        }
        assertTrue(cpu[0] <= 61 * 100_000 + 10_000, "low used " + cpu[0]);
        assertTrue(cpu[1] <= 61 * 100_000 + 10_000, "high used " + cpu[1]);
        assertTrue(bytes <= 61L * (1 << 20) + 40_000, "high moved " + bytes);
        assertTrue(cpu[0] + cpu[1] > 5 * S, "too little: " + (cpu[0] + cpu[1]));
        assertTrue(cpu[0] > 0 && cpu[1] >= cpu[0], cpu[0] + " and " + cpu[1]);
    }

    @Test
    void aSliceHasToBeReportedBeforeTheNext() {
        Background b = with(150_000, low);
        b.due(low, 0, NEVER);
        assertNotNull(b.next(0, false));
        assertThrows(IllegalStateException.class, () -> b.next(1, false));
        b.ran(1, 10, 10, NEVER, NEVER);
        assertNull(b.next(2, false));
        assertEquals(NEVER, b.wakeAt(2));
        assertThrows(IllegalArgumentException.class, () -> b.due(high, 0, NEVER));
    }
}
