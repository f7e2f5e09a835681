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
        WatchPlan plan = new WatchPlan(seed);
        long now = 1_000_000;
        plan.anew(now);
        long held = plan.open(now);
        plan.spoke(now, held);
        long silentFrom = now;
        int made = 0;
        for (; now < silentFrom + 60_000_000; now += STEP) {
            long given = plan.giveUp(now);
            assertTrue(given != held, "a silent watch is kept until another speaks");
            long number = plan.open(now);
            if (number != 0) {
                Fate fate = made < fates.length ? fates[made] : Fate.SPEAKS;
                made++;
                if (fate == Fate.SPEAKS) {
                    assertEquals(held, plan.spoke(now, number), "the silent one is dropped then");
                    assertTrue(plan.wanted(number));
                    assertFalse(plan.wanted(held));
                    return now - silentFrom;
                } else if (fate == Fate.REFUSED) {
                    plan.ended(now, number);
                }
            }
            assertTrue(plan.next() > now, "what is due was done: nothing spins");
        }
        throw new AssertionError("no watch was opened");
    }

    @Test
    void aSilentWatchIsReplacedWithinTheBudgetAlsoWhenTwoAttemptsHang() {
        for (long seed = 0; seed < 200; seed++) {
            assertTrue(replaced(seed) < WatchPlan.TOLD);
            assertTrue(replaced(seed, Fate.HANGS) < WatchPlan.TOLD);
            long worst = replaced(seed, Fate.HANGS, Fate.HANGS);
            assertTrue(
                    worst <= WatchPlan.TOLD - WatchPlan.ATTEMPT / 2 + 5 * STEP,
                    worst + " with seed " + seed);
            assertTrue(replaced(seed, Fate.REFUSED, Fate.HANGS, Fate.REFUSED) < WatchPlan.TOLD);
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
                    first - replaced(seed, away) <= WatchPlan.PAUSE + STEP,
                    "the pause stays short");
        }
    }

    @Test
    void heartbeatsKeepAWatchAndALateOneIsNoLoss() {
        WatchPlan plan = new WatchPlan(1);
        plan.anew(0);
        long held = plan.open(0);
        plan.spoke(0, held);
        for (long now = 0; now < 60_000_000; now += STEP) {
            long lateness = now / HEARTBEAT % 2 * 500_000;
            if (now % HEARTBEAT == lateness) {
                plan.spoke(now, held);
            }
            assertEquals(0, plan.open(now), "at " + now);
        }
    }

    @Test
    void aResetWatchIsOpenedAgainAtOnceAndASilentOneMaySpeakAgain() {
        WatchPlan plan = new WatchPlan(1);
        plan.anew(0);
        long first = plan.open(0);
        plan.spoke(0, first);
        plan.ended(100, first);
        assertTrue(plan.next() <= 100 + 50_000);
        long second = plan.open(plan.next());
        assertTrue(second > first);
        plan.spoke(60_000, second);
        long later = 60_000 + WatchPlan.SILENCE;
        long third = plan.open(later);
        assertTrue(third > second);
        plan.spoke(later + 1, second);
        assertTrue(plan.wanted(second) && plan.wanted(third));
    }

    @Test
    void anotherAddressIsWatchedAtOnceAndTheOldWatchKeptUntilItSpeaks() {
        WatchPlan plan = new WatchPlan(1);
        plan.anew(0);
        long old = plan.open(0);
        plan.spoke(0, old);
        assertEquals(0, plan.anew(500));
        long hanging = plan.open(500);
        assertEquals(hanging, plan.anew(700), "an attempt at the former address is given up");
        long fresh = plan.open(700);
        assertTrue(plan.wanted(old));
        assertEquals(old, plan.spoke(900, fresh));
        plan.ended(1000, old);
        assertEquals(0, plan.open(1000), "the end of what was dropped changes nothing");
    }

    @Test
    void anAttemptThatStopsInTheMiddleOfItsFirstListIsGivenUpAndTheOldWatchKept() {
        WatchPlan plan = new WatchPlan(1);
        plan.anew(0);
        long old = plan.open(0);
        plan.spoke(0, old);
        plan.anew(1000);
        long half = plan.open(1000);
        plan.heard(2000, half);
        assertTrue(plan.wanted(old) && plan.wanted(half));
        assertEquals(0, plan.giveUp(2000 + WatchPlan.ATTEMPT - 1));
        assertEquals(half, plan.giveUp(2000 + WatchPlan.ATTEMPT));
        assertTrue(plan.wanted(old));
    }

    @Test
    void anAttemptWhoseListComesInPartsIsWaitedForButNotForever() {
        WatchPlan plan = new WatchPlan(1);
        plan.anew(0);
        long slow = plan.open(0);
        long now = 0;
        for (; plan.giveUp(now) == 0; now += WatchPlan.ATTEMPT / 2) {
            plan.heard(now, slow);
            assertTrue(now < 2 * WatchPlan.TOLD);
        }
        assertEquals(WatchPlan.TOLD, now);
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
                    WatchPlan.SILENCE
                            + hung * WatchPlan.ATTEMPT
                            + before * WatchPlan.PAUSE
                            + (before + 2) * STEP;
            assertTrue(replaced(fates, order) <= bound, "order " + fates);
        }
    }
}
