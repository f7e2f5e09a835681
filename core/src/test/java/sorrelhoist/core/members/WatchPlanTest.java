package sorrelhoist.core.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Watches that fall silent, hang, are refused and reset, in virtual time. */
class WatchPlanTest {
    private static final long STEP = 10_000;
    private static final long HEARTBEAT = 2_000_000;

    /** What happens to the n-th attempt after the silence: the time until it speaks, or ends. */
    private enum Fate {
        SPEAKS,
        HANGS,
        REFUSED
    }

    /** {@return microseconds from the last sign of life until a new watch spoke} */
    private static long replaced(long seed, Fate... fates) {
        WatchReconnectPolicy plan = new WatchReconnectPolicy(seed);
        long now = 1_000_000;
        plan.restart(now);
        long held = plan.attemptToOpen(now);
        plan.messageReceived(now, held);
        long silentFrom = now;
        int made = 0;
        for (; now < silentFrom + 60_000_000; now += STEP) {
            long given = plan.attemptToAbandon(now);
            assertTrue(given != held, "a silent watch is kept until another speaks");
            long number = plan.attemptToOpen(now);
            if (number != 0) {
                Fate fate = made < fates.length ? fates[made] : Fate.SPEAKS;
                made++;
                if (fate == Fate.SPEAKS) {
                    assertEquals(
                            held,
                            plan.messageReceived(now, number),
                            "the silent one is dropped then");
                    assertTrue(plan.isCurrent(number));
                    assertFalse(plan.isCurrent(held));
                    return now - silentFrom;
                } else if (fate == Fate.REFUSED) {
                    plan.watchEnded(now, number);
                }
            }
            assertTrue(plan.nextDeadline() > now, "what is due was done: nothing spins");
        }
        throw new AssertionError("no watch was opened");
    }

    @Test
    void aSilentWatchIsReplacedWithinTheBudgetAlsoWhenTwoAttemptsHang() {
        for (long seed = 0; seed < 200; seed++) {
            assertTrue(replaced(seed) < WatchReconnectPolicy.UPDATE_BUDGET);
            assertTrue(replaced(seed, Fate.HANGS) < WatchReconnectPolicy.UPDATE_BUDGET);
            long worst = replaced(seed, Fate.HANGS, Fate.HANGS);
            assertTrue(
                    worst
                            <= WatchReconnectPolicy.UPDATE_BUDGET
                                    - WatchReconnectPolicy.ATTEMPT / 2
                                    + 5 * STEP,
                    worst + " with seed " + seed);
            assertTrue(
                    replaced(seed, Fate.REFUSED, Fate.HANGS, Fate.REFUSED)
                            < WatchReconnectPolicy.UPDATE_BUDGET);
        }
    }

    @Test
    void aRefusedOrHangingDiscoveryIsFoundSoonAfterItsReturnHoweverLongItWasAway() {
        for (long seed = 0; seed < 50; seed++) {
            Fate[] away = new Fate[40];
            java.util.Arrays.fill(away, Fate.REFUSED);
            long first = replaced(seed, away);
            away[39] = Fate.SPEAKS;
            assertTrue(
                    first - replaced(seed, away) <= WatchReconnectPolicy.PAUSE + STEP,
                    "the pause stays short");
        }
    }

    @Test
    void heartbeatsKeepAWatchAndALateOneIsNoLoss() {
        WatchReconnectPolicy plan = new WatchReconnectPolicy(1);
        plan.restart(0);
        long held = plan.attemptToOpen(0);
        plan.messageReceived(0, held);
        for (long now = 0; now < 60_000_000; now += STEP) {
            long lateness = now / HEARTBEAT % 2 * 500_000;
            if (now % HEARTBEAT == lateness) {
                plan.messageReceived(now, held);
            }
            assertEquals(0, plan.attemptToOpen(now), "at " + now);
        }
    }

    @Test
    void aResetWatchIsOpenedAgainAtOnceAndASilentOneMaySpeakAgain() {
        WatchReconnectPolicy plan = new WatchReconnectPolicy(1);
        plan.restart(0);
        long first = plan.attemptToOpen(0);
        plan.messageReceived(0, first);
        plan.watchEnded(100, first);
        assertTrue(plan.nextDeadline() <= 100 + 50_000);
        long second = plan.attemptToOpen(plan.nextDeadline());
        assertTrue(second > first);
        plan.messageReceived(60_000, second);
        long later = 60_000 + WatchReconnectPolicy.SILENCE;
        long third = plan.attemptToOpen(later);
        assertTrue(third > second);
        plan.messageReceived(later + 1, second);
        assertTrue(plan.isCurrent(second) && plan.isCurrent(third));
    }

    @Test
    void anotherAddressIsWatchedAtOnceAndTheOldWatchKeptUntilItSpeaks() {
        WatchReconnectPolicy plan = new WatchReconnectPolicy(1);
        plan.restart(0);
        long old = plan.attemptToOpen(0);
        plan.messageReceived(0, old);
        assertEquals(0, plan.restart(500));
        long hanging = plan.attemptToOpen(500);
        assertEquals(hanging, plan.restart(700), "an attempt at the former address is given up");
        long fresh = plan.attemptToOpen(700);
        assertTrue(plan.isCurrent(old));
        assertEquals(old, plan.messageReceived(900, fresh));
        plan.watchEnded(1000, old);
        assertEquals(0, plan.attemptToOpen(1000), "the end of what was dropped changes nothing");
    }

    @Test
    void anAttemptThatStopsInTheMiddleOfItsFirstListIsGivenUpAndTheOldWatchKept() {
        WatchReconnectPolicy plan = new WatchReconnectPolicy(1);
        plan.restart(0);
        long old = plan.attemptToOpen(0);
        plan.messageReceived(0, old);
        plan.restart(1000);
        long half = plan.attemptToOpen(1000);
        plan.bytesReceived(2000, half);
        assertTrue(plan.isCurrent(old) && plan.isCurrent(half));
        assertEquals(0, plan.attemptToAbandon(2000 + WatchReconnectPolicy.ATTEMPT - 1));
        assertEquals(half, plan.attemptToAbandon(2000 + WatchReconnectPolicy.ATTEMPT));
        assertTrue(plan.isCurrent(old));
    }

    @Test
    void anAttemptWhoseListComesInPartsIsWaitedForButNotForever() {
        WatchReconnectPolicy plan = new WatchReconnectPolicy(1);
        plan.restart(0);
        long slow = plan.attemptToOpen(0);
        long now = 0;
        for (; plan.attemptToAbandon(now) == 0; now += WatchReconnectPolicy.ATTEMPT / 2) {
            plan.bytesReceived(now, slow);
            assertTrue(now < 2 * WatchReconnectPolicy.UPDATE_BUDGET);
        }
        assertEquals(WatchReconnectPolicy.UPDATE_BUDGET, now);
    }

    /**
     * Every order of up to five fates of the attempts after a silence, with a change told at each
     * moment between: it has arrived by the time at which it counts as told, or a watch in use was
     * open that could have brought it.
     */
    @Test
    void inEveryOrderOfFatesTheNextListComesSoonAfterDiscoveryCanBeReached() {
        Fate[] all = Fate.values();
        for (int fates = 0; fates < 243; fates++) {
            Fate[] order = new Fate[6];
            for (int i = 0, rest = fates; i < 5; i++, rest /= 3) {
                order[i] = all[rest % 3];
            }
            order[5] = Fate.SPEAKS;
            int before = 0;
            while (order[before] != Fate.SPEAKS) {
                before++;
            }
            long hung =
                    java.util.Arrays.stream(order, 0, before).filter(f -> f == Fate.HANGS).count();
            long bound =
                    WatchReconnectPolicy.SILENCE
                            + hung * WatchReconnectPolicy.ATTEMPT
                            + before * WatchReconnectPolicy.PAUSE
                            + (before + 2) * STEP;
            assertTrue(replaced(fates, order) <= bound, "order " + fates);
        }
    }
}
