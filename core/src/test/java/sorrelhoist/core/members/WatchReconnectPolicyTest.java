package sorrelhoist.core.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Tests watches that fall silent, hang, are refused or are reset, in virtual time. */
class WatchReconnectPolicyTest {
    private static final long STEP = 10_000;
    private static final long HEARTBEAT = 2_000_000;

    /** The outcome of an attempt after the silence: it connects, hangs, or ends at once. */
    private enum AttemptOutcome {
        CONNECTS,
        HANGS,
        REFUSED
    }

    /**
     * {@return the time from the last message until a new watch is established, in microseconds}
     */
    private static long replacementTime(long seed, AttemptOutcome... outcomes) {
        WatchReconnectPolicy policy = new WatchReconnectPolicy(seed);
        long now = 1_000_000;
        policy.restart(now);
        long established = policy.attemptToOpen(now);
        policy.messageReceived(now, established);
        long silentFrom = now;
        int attempts = 0;
        for (; now < silentFrom + 60_000_000; now += STEP) {
            long abandoned = policy.attemptToAbandon(now);
            assertTrue(
                    abandoned != established,
                    "a silent watch must stay open until another is established");
            long number = policy.attemptToOpen(now);
            if (number != 0) {
                AttemptOutcome outcome =
                        attempts < outcomes.length ? outcomes[attempts] : AttemptOutcome.CONNECTS;
                attempts++;
                if (outcome == AttemptOutcome.CONNECTS) {
                    assertEquals(
                            established,
                            policy.messageReceived(now, number),
                            "the silent watch is dropped once another is established");
                    assertTrue(policy.isCurrent(number));
                    assertFalse(policy.isCurrent(established));
                    return now - silentFrom;
                } else if (outcome == AttemptOutcome.REFUSED) {
                    policy.watchEnded(now, number);
                }
            }
            assertTrue(
                    policy.nextDeadline() > now,
                    "the next deadline must be in the future, or the event loop spins");
        }
        throw new AssertionError("no watch was opened");
    }

    @Test
    void silentWatchIsReplacedWithinBudgetAlthoughTwoAttemptsHang() {
        for (long seed = 0; seed < 200; seed++) {
            assertTrue(replacementTime(seed) < WatchReconnectPolicy.UPDATE_BUDGET_MICROS);
            assertTrue(
                    replacementTime(seed, AttemptOutcome.HANGS)
                            < WatchReconnectPolicy.UPDATE_BUDGET_MICROS);
            long worst = replacementTime(seed, AttemptOutcome.HANGS, AttemptOutcome.HANGS);
            assertTrue(
                    worst
                            <= WatchReconnectPolicy.UPDATE_BUDGET_MICROS
                                    - WatchReconnectPolicy.ATTEMPT_TIMEOUT_MICROS / 2
                                    + 5 * STEP,
                    worst + " with seed " + seed);
            assertTrue(
                    replacementTime(
                                    seed,
                                    AttemptOutcome.REFUSED,
                                    AttemptOutcome.HANGS,
                                    AttemptOutcome.REFUSED)
                            < WatchReconnectPolicy.UPDATE_BUDGET_MICROS);
        }
    }

    @Test
    void reconnectDelayStaysBoundedAfterLongOutage() {
        for (long seed = 0; seed < 50; seed++) {
            AttemptOutcome[] away = new AttemptOutcome[40];
            Arrays.fill(away, AttemptOutcome.REFUSED);
            long first = replacementTime(seed, away);
            away[39] = AttemptOutcome.CONNECTS;
            assertTrue(
                    first - replacementTime(seed, away)
                            <= WatchReconnectPolicy.MAX_BACKOFF_MICROS + STEP,
                    "the reconnect delay must stay short");
        }
    }

    @Test
    void lateHeartbeatKeepsWatch() {
        WatchReconnectPolicy policy = new WatchReconnectPolicy(1);
        policy.restart(0);
        long established = policy.attemptToOpen(0);
        policy.messageReceived(0, established);
        for (long now = 0; now < 60_000_000; now += STEP) {
            long lateness = now / HEARTBEAT % 2 * 500_000;
            if (now % HEARTBEAT == lateness) {
                policy.messageReceived(now, established);
            }
            assertEquals(0, policy.attemptToOpen(now), "at " + now);
        }
    }

    @Test
    void resetWatchIsReopenedAtOnceAndSilentWatchMayRecover() {
        WatchReconnectPolicy policy = new WatchReconnectPolicy(1);
        policy.restart(0);
        long first = policy.attemptToOpen(0);
        policy.messageReceived(0, first);
        policy.watchEnded(100, first);
        assertTrue(policy.nextDeadline() <= 100 + 50_000);
        long second = policy.attemptToOpen(policy.nextDeadline());
        assertTrue(second > first);
        policy.messageReceived(60_000, second);
        long later = 60_000 + WatchReconnectPolicy.SILENCE_TIMEOUT_MICROS;
        long third = policy.attemptToOpen(later);
        assertTrue(third > second);
        policy.messageReceived(later + 1, second);
        assertTrue(policy.isCurrent(second) && policy.isCurrent(third));
    }

    @Test
    void restartKeepsOldWatchUntilReplaced() {
        WatchReconnectPolicy policy = new WatchReconnectPolicy(1);
        policy.restart(0);
        long old = policy.attemptToOpen(0);
        policy.messageReceived(0, old);
        assertEquals(0, policy.restart(500));
        long hanging = policy.attemptToOpen(500);
        assertEquals(hanging, policy.restart(700), "an attempt at the former address is abandoned");
        long fresh = policy.attemptToOpen(700);
        assertTrue(policy.isCurrent(old));
        assertEquals(old, policy.messageReceived(900, fresh));
        policy.watchEnded(1000, old);
        assertEquals(
                0,
                policy.attemptToOpen(1000),
                "the end of a dropped watch must not open another one");
    }

    @Test
    void attemptWithPartialListIsAbandonedAndOldWatchKept() {
        WatchReconnectPolicy policy = new WatchReconnectPolicy(1);
        policy.restart(0);
        long old = policy.attemptToOpen(0);
        policy.messageReceived(0, old);
        policy.restart(1000);
        long half = policy.attemptToOpen(1000);
        policy.bytesReceived(2000, half);
        assertTrue(policy.isCurrent(old) && policy.isCurrent(half));
        assertEquals(
                0, policy.attemptToAbandon(2000 + WatchReconnectPolicy.ATTEMPT_TIMEOUT_MICROS - 1));
        assertEquals(
                half, policy.attemptToAbandon(2000 + WatchReconnectPolicy.ATTEMPT_TIMEOUT_MICROS));
        assertTrue(policy.isCurrent(old));
    }

    @Test
    void attemptReceivingListInPartsIsBoundedByBudget() {
        WatchReconnectPolicy policy = new WatchReconnectPolicy(1);
        policy.restart(0);
        long slow = policy.attemptToOpen(0);
        long now = 0;
        for (;
                policy.attemptToAbandon(now) == 0;
                now += WatchReconnectPolicy.ATTEMPT_TIMEOUT_MICROS / 2) {
            policy.bytesReceived(now, slow);
            assertTrue(now < 2 * WatchReconnectPolicy.UPDATE_BUDGET_MICROS);
        }
        assertEquals(WatchReconnectPolicy.UPDATE_BUDGET_MICROS, now);
    }

    /**
     * Checks every sequence of five outcomes of the attempts after a silence: the next watch is
     * established within the silence timeout, one attempt timeout for each attempt that hangs, and
     * the longest delay for each attempt that fails.
     */
    @Test
    void watchIsReplacedInTimeInEverySequenceOfOutcomes() {
        AttemptOutcome[] all = AttemptOutcome.values();
        for (int outcomes = 0; outcomes < 243; outcomes++) {
            AttemptOutcome[] order = new AttemptOutcome[6];
            for (int i = 0, rest = outcomes; i < 5; i++, rest /= 3) {
                order[i] = all[rest % 3];
            }
            order[5] = AttemptOutcome.CONNECTS;
            int before = 0;
            while (order[before] != AttemptOutcome.CONNECTS) {
                before++;
            }
            long hung =
                    Arrays.stream(order, 0, before)
                            .filter(outcome -> outcome == AttemptOutcome.HANGS)
                            .count();
            long bound =
                    WatchReconnectPolicy.SILENCE_TIMEOUT_MICROS
                            + hung * WatchReconnectPolicy.ATTEMPT_TIMEOUT_MICROS
                            + before * WatchReconnectPolicy.MAX_BACKOFF_MICROS
                            + (before + 2) * STEP;
            assertTrue(replacementTime(outcomes, order) <= bound, "sequence " + outcomes);
        }
    }
}
