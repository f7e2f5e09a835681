package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.SECOND;
import static sorrelhoist.routing.Fixtures.all;
import static sorrelhoist.routing.Fixtures.decodeServer;
import static sorrelhoist.routing.Fixtures.defaultSettings;
import static sorrelhoist.routing.Fixtures.ended;
import static sorrelhoist.routing.Fixtures.fleet;
import static sorrelhoist.routing.Fixtures.request;
import static sorrelhoist.routing.Fixtures.send;
import static sorrelhoist.routing.Fixtures.settings;
import static sorrelhoist.routing.Fixtures.withState;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Reserve;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingEvents.TimerFired;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;

/**
 * Tests to which servers one router sends prefills and decodes. Each test is named after the
 * failure that it guards against.
 */
class PlacementTest extends SingleRouterTest {
    @Test
    void aSessionIsPrefilledWhereItIsCached() {
        String first = serve(1, "a", null, 1000, 0, 0);
        for (int turn = 2; turn < 6; turn++) {
            now += 11 * SECOND;
            assertEquals(first, serve(turn, "a", null, 1000 + 100 * turn, 0, 1000));
        }
    }

    @Test
    void routersAgreeOnTheServerOfAnUnseenPrefix() {
        Set<String> readers = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            String prefix = "p" + i;
            RoutingPolicy other = new RoutingPolicy(defaultSettings(), 1000 + i);
            other.onEvent(0, new Members(ListUpdateKind.RESTORED, fleet()));
            String here =
                    send(start(defaultSettings(), fleet())
                                    .onEvent(10 * SECOND, request(1, "x", prefix, 900, 800)))
                            .server();
            assertEquals(here, send(other.onEvent(0, request(1, "y", prefix, 900, 800))).server());
            readers.add(here);
        }
        assertTrue(
                readers.size() > 2,
                "the hash should distribute keys over the prefill servers: " + readers);
    }

    @Test
    void anUncachedPromptGoesToTheLightestServer() {
        String holder = serve(1, "a", "p", 4000, 1000, 0);
        assertNotEquals(holder, arrive(2, "b", "p", 4000, 1000).server());
    }

    @Test
    void prefillsMoveAwayFromTheServerWithTheHighestLoad() {
        String home = serve(1, "s0", "p", 1000, 900, 0);
        Set<String> readers = new HashSet<>();
        for (int i = 2; i < 60; i++) {
            readers.add(serve(i, "s" + i, "p", 1400, 900, 900));
        }
        assertTrue(
                readers.contains(home) && readers.size() > 1,
                "prefills were sent only to " + readers);
    }

    @Test
    void theDecodeStaysInTheCellOfThePrefill() {
        for (int i = 0; i < 30; i++) {
            List<Action> onArrival = policy.onEvent(now, request(i, "s" + i, null, 800, 0));
            Send s = send(onArrival);
            assertTrue(all(onArrival, Reserve.class).isEmpty());
            String w = completeAnswer(s, 0, 50_000);
            boolean near = List.of("r1", "r2").contains(s.server());
            assertTrue(
                    List.of(near ? "w1" : "w3", near ? "w2" : "w4").contains(w), s + " then " + w);
        }
    }

    @Test
    void aRestartClearsTheCachedPrefixes() {
        Send first = arrive(1, "a", null, 4000, 0);
        completeAnswer(first, 0, 50_000);
        Server home =
                fleet().stream()
                        .filter(s -> s.id().equals(first.server()))
                        .findFirst()
                        .orElseThrow();
        policy.onEvent(
                now,
                new Members(
                        ListUpdateKind.UPDATE, List.of(withState(home, ServerState.SERVING, now))));
        now += 13 * SECOND;
        policy.onEvent(now, new TimerFired(99));
        Set<String> readers = new HashSet<>();
        for (int i = 2; i < 6; i++) {
            readers.add(arrive(i, "a" + i, null, 4000, 0).server());
        }
        assertTrue(readers.size() > 1);
    }

    @Test
    void aWarmingUpServerIsNotOverloaded() {
        List<Server> cold =
                fleet().stream()
                        .map(s -> s.id().equals("r1") ? withState(s, ServerState.SERVING, now) : s)
                        .toList();
        policy.onEvent(now, new Members(ListUpdateKind.COMPLETE, cold));
        int sent = 0;
        for (int i = 0; i < 30; i++) {
            now += 100_000;
            Send s = arrive(i, "s" + i, null, 1000, 0);
            sent += s.server().equals("r1") ? 1 : 0;
            completeAnswer(s, 0, 40_000);
        }
        assertTrue(sent <= 4, "requests sent to the cold server: " + sent);
    }

    @Test
    void decodersPrefillWhenNoPrefillServerIsLeft() {
        List<Server> writers = List.of(decodeServer("w1", 0));
        assertEquals(
                "w1",
                send(start(
                                        settings(
                                                Idempotency.SAFE,
                                                IdempotencyScope.ALL,
                                                true,
                                                List.of()),
                                        writers)
                                .onEvent(now, request(1, "a", null, 1000, 0)))
                        .server());
        assertTrue(
                all(
                                start(defaultSettings(), writers)
                                        .onEvent(now, request(1, "a", null, 1000, 0)),
                                Send.class)
                        .isEmpty());
    }

    @Test
    void mixedServersGetTheirShareOfWholeRequests() {
        List<Server> fleet = new ArrayList<>(fleet());
        fleet.add(new Server("m1", 0, 2, 0, ServerState.SERVING, 8, 0));
        RoutingPolicy d = start(defaultSettings(), fleet);
        int mixed = 0;
        for (int i = 0; i < 100; i++) {
            now += 100_000;
            Send s = send(d.onEvent(now, request(i, "s" + i, null, 100, 0)));
            mixed += s.server().equals("m1") ? 1 : 0;
            Outcome outcome = s.server().equals("m1") ? Outcome.DONE : Outcome.READ;
            for (Send w : all(d.onEvent(now, ended(s, 0, outcome, 10_000, 0)), Send.class)) {
                d.onEvent(now, ended(w, 1, Outcome.DONE, 10_000, 0));
            }
        }
        assertTrue(mixed > 25 && mixed < 75, "sent to the mixed server, of 100: " + mixed);
    }

    @Test
    void aDecodeServerWithOverdueFirstTokensIsAvoided() {
        Set<String> hanging = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            hanging.add(endPrefill(arrive(i, "s" + i, null, 1000, 0), 0).server());
        }
        now += 700_000;
        for (int i = 4; i < 12 && hanging.size() < 4; i++) {
            List<Send> sends =
                    all(policy.onEvent(now, request(i, "s" + i, null, 1000, 0)), Send.class);
            for (Send s : sends) {
                assertFalse(hanging.contains(completeAnswer(s, 0, 50_000)));
            }
        }
    }

    @Test
    void aCongestedServerIsAvoidedThoughItHasThePrefixCached() {
        String home = serve(1, "a", null, 1000, 0, 0);
        now += 11 * SECOND;
        assertEquals(home, arrive(2, "a", null, 1100, 0).server());
        now += 900_000;
        assertNotEquals(home, arrive(3, "a", null, 1200, 0).server());
    }

    @Test
    void aLostAnswerDoesNotCountAsCongestion() {
        String home = serve(1, "a", null, 1000, 0, 0);
        now += 11 * SECOND;
        assertEquals(home, arrive(2, "a", null, 1100, 0).server());
        now += 50_000;
        completeAnswer(arrive(3, "a", null, 1150, 0), 0, 50_000);
        now += 900_000;
        assertEquals(home, arrive(4, "a", null, 1200, 0).server());
    }
}
