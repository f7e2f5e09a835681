package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.RESERVATION_LIMIT_MICROS;
import static sorrelhoist.routing.Fixtures.SECOND;
import static sorrelhoist.routing.Fixtures.all;
import static sorrelhoist.routing.Fixtures.defaultSettings;
import static sorrelhoist.routing.Fixtures.ended;
import static sorrelhoist.routing.Fixtures.fleet;
import static sorrelhoist.routing.Fixtures.prefillServer;
import static sorrelhoist.routing.Fixtures.request;
import static sorrelhoist.routing.Fixtures.send;
import static sorrelhoist.routing.Fixtures.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingEvents.ClientGone;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.StreamStarted;
import sorrelhoist.routing.RoutingEvents.TimerFired;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;

/**
 * Tests how one router handles failed attempts. Each test is named after the failure that it guards
 * against.
 */
class FaultHandlingTest extends SingleRouterTest {
    @Test
    void aRefusedConnectionIsRetriedElsewhereAtOnce() {
        Send s = arrive(1, "a", null, 1000, 0);
        Send again = send(policy.onEvent(now + 300, ended(s, 0, Outcome.CONNECT_FAILED, 300, 0)));
        assertNotEquals(s.server(), again.server());
    }

    /**
     * Guards against a state that is kept for too long: while connections to decode servers time
     * out, a prefilled state stays at its prefill server, and a second timeout would exceed the
     * time for which it may be kept.
     */
    @Test
    void aPromptIsPrefilledAgainRatherThanReservedWhileDecodersAreUnreachable() {
        Send w = endPrefill(arrive(1, "a", null, 1000, 0), 0);
        assertEquals(1, w.id());
        assertTrue(w.server().startsWith("w"));
        now += 20_000;
        Send quick = send(policy.onEvent(now, ended(w, 1, Outcome.CONNECT_FAILED, 20_000, 0)));
        assertTrue(
                quick.server().startsWith("w"),
                "a connection that fails quickly hardly delays the state");
        now += 240_000;
        Send anew = send(policy.onEvent(now, ended(quick, 2, Outcome.CONNECT_FAILED, 240_000, 0)));
        assertTrue(
                anew.server().startsWith("r"),
                anew + ": another wait of this length would keep the state for too long");
        Send last = send(policy.onEvent(now + 50_000, ended(anew, 3, Outcome.READ, 50_000, 900)));
        assertTrue(last.server().startsWith("w"));
    }

    /**
     * The deadline applies to the first token: a stream that has started is neither rejected nor
     * cancelled at the deadline.
     */
    @Test
    void theDeadlineStopsWithTheFirstToken() {
        Send w = endPrefill(arrive(1, "a", null, 1000, 0), 0);
        policy.onEvent(now, new StreamStarted(1, 1, w.server(), 20_000));
        assertEquals(List.of(), policy.onEvent(now + 5 * SECOND, new TimerFired(1)));
    }

    @Test
    void aTimeoutLeavesTimeForAnotherAttempt() {
        Send s = arrive(1, "a", null, 1000, 0);
        assertTrue(s.cutAt() - now < 3 * SECOND, "timeout after " + (s.cutAt() - now));
        now = s.cutAt();
        assertNotEquals(
                s.server(),
                send(policy.onEvent(now, ended(s, 0, Outcome.TIMED_OUT, 0, 0))).server());
    }

    @Test
    void aFastFailingServerThatLooksIdleIsEjected() {
        int hits = 0;
        for (int i = 0; i < 40; i++) {
            Send s = arrive(i, "s" + i, null, 1000, 0);
            now += 40_000;
            if (s.server().equals("r1")) {
                hits++;
                s = send(policy.onEvent(now, ended(s, 0, Outcome.ERROR, 1000, 0)));
                completeAnswer(s, 1, 30_000);
            } else {
                completeAnswer(s, 0, 30_000);
            }
        }
        assertTrue(hits >= 1 && hits <= 6, "requests sent to the failing server: " + hits);
    }

    @Test
    void aSlowServerIsEjectedAndReinstated() {
        int slowHits = 0;
        for (int i = 0; i < 60; i++) {
            now += 50_000;
            Send s = arrive(i, "s" + i, null, 1000, 0);
            boolean slow = s.server().equals("r1");
            slowHits += slow && i >= 30 ? 1 : 0;
            completeAnswer(s, 0, slow ? 900_000 : 40_000);
        }
        assertTrue(slowHits <= 4, "requests sent to the slow server: " + slowHits);
        int later = 0;
        for (int i = 60; i < 300; i++) {
            now += 50_000;
            Send s = arrive(i, "s" + i, null, 1000, 0);
            later += s.server().equals("r1") ? 1 : 0;
            completeAnswer(s, 0, 40_000);
        }
        assertTrue(later > 8, "requests sent to the server after its recovery: " + later);
    }

    @Test
    void aFaultCommonToAllLeavesCandidates() {
        int sends = 0;
        for (int i = 0; i < 80; i++) {
            now += 100_000;
            List<Action> actions = policy.onEvent(now, request(i, "s" + i, null, 1000, 0));
            for (int n = 0; !all(actions, Send.class).isEmpty(); n++) {
                sends++;
                actions = policy.onEvent(now, ended(send(actions), n, Outcome.ERROR, 500, 0));
            }
        }
        assertTrue(sends >= 80, "attempts sent for 80 requests: " + sends);
    }

    @Test
    void aRetryStormIsBounded() {
        int sends = 0;
        for (int i = 0; i < 200; i++) {
            now += 20_000;
            List<Action> actions = policy.onEvent(now, request(i, "s" + i, null, 1000, 0));
            for (int n = 0; !all(actions, Send.class).isEmpty(); n++) {
                sends++;
                actions = policy.onEvent(now, ended(send(actions), n, Outcome.ERROR, 500, 0));
            }
        }
        assertTrue(sends < 270, "attempts sent for 200 requests: " + sends);
    }

    @Test
    void aReservedStateIsReleasedWhenNoDecoderIsListed() {
        RoutingPolicy d = start(defaultSettings(), List.of(prefillServer("r1", 0)));
        Send s = send(d.onEvent(now, request(1, "a", null, 1000, 0)));
        List<Action> actions =
                new ArrayList<>(d.onEvent(now, ended(s, 0, Outcome.READ, 40_000, 0)));
        long until = now;
        while (all(actions, Release.class).isEmpty()) {
            until += all(actions, Timer.class).get(0).delayMicros();
            actions = d.onEvent(until, new TimerFired(1));
        }
        assertTrue(until - now < RESERVATION_LIMIT_MICROS);
        assertEquals(1, all(actions, Refuse.class).size());
    }

    @Test
    void aReservedStateIsReleasedWhenItsClientDisconnects() {
        Send s = arrive(1, "a", null, 1000, 0);
        assertEquals(1, all(policy.onEvent(now, new ClientGone(1)), Cancel.class).size());
        assertEquals(
                List.of(new Release(1)), policy.onEvent(now, ended(s, 0, Outcome.READ, 40_000, 0)));
    }

    @Test
    void aLostStateIsPrefilledAgain() {
        Send w = endPrefill(arrive(1, "a", null, 1000, 0), 0);
        Send again = send(policy.onEvent(now, ended(w, 1, Outcome.FULL, 500, 1)));
        assertTrue(again.server().startsWith("r"));
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunFails() {
        RoutingPolicy d =
                start(
                        settings(Idempotency.UNSAFE, IdempotencyScope.ALL, false, List.of()),
                        fleet());
        Send s = send(d.onEvent(now, request(1, "a", null, 1000, 0)));
        Send w = send(d.onEvent(now, ended(s, 0, Outcome.READ, 40_000, 0)));
        List<Action> actions = d.onEvent(now, ended(w, 1, Outcome.RESET, 500, 0));
        assertEquals(1, all(actions, Fail.class).size());
        assertTrue(all(actions, Send.class).isEmpty() && all(actions, Refuse.class).isEmpty());
    }

    @Test
    void aRequestWithAnIdempotencyKeyIsRetriedWithinItsScope() {
        RoutingPolicy d =
                start(
                        settings(Idempotency.KEYED, IdempotencyScope.CELL, false, List.of()),
                        fleet());
        Send s = send(d.onEvent(now, request(1, "a", null, 1000, 0)));
        Send w = send(d.onEvent(now, ended(s, 0, Outcome.READ, 40_000, 0)));
        Send again = send(d.onEvent(now, ended(w, 1, Outcome.ERROR, 500, 0)));
        Set<String> cell =
                w.server().matches("w[12]")
                        ? Set.of("r1", "r2", "w1", "w2")
                        : Set.of("r3", "r4", "w3", "w4");
        assertTrue(cell.contains(again.server()));
        Send write = send(d.onEvent(now, ended(again, 2, Outcome.READ, 40_000, 0)));
        assertTrue(write.server().startsWith("w") && cell.contains(write.server()));
    }

    /**
     * Guards against late answers: the first decode server had already fetched the state, so
     * another one would have to do the whole prefill itself, which also slows its other requests.
     */
    @Test
    void afterAStreamResetThePromptIsPrefilledAgain() {
        for (Outcome broke : List.of(Outcome.ERROR, Outcome.RESET)) {
            RoutingPolicy d =
                    start(
                            settings(Idempotency.SAFE, IdempotencyScope.ALL, true, List.of()),
                            fleet());
            Send read = send(d.onEvent(now, request(1, "s", null, 3000, 0)));
            Send write = send(d.onEvent(now, ended(read, 0, Outcome.READ, 10_000, 0)));
            Send again = send(d.onEvent(now, ended(write, 1, broke, 10_000, 0)));
            assertEquals(
                    read.server(),
                    again.server(),
                    "the retry goes to the prefill server that has the prompt cached");
            Send other = send(d.onEvent(now, ended(again, 2, Outcome.READ, 10_000, 3000)));
            assertTrue(other.server().startsWith("w") && !other.server().equals(write.server()));
        }
    }
}
