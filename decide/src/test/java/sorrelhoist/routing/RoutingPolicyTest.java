package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.SECOND;
import static sorrelhoist.routing.Fixtures.all;
import static sorrelhoist.routing.Fixtures.defaultSettings;
import static sorrelhoist.routing.Fixtures.ended;
import static sorrelhoist.routing.Fixtures.fleet;
import static sorrelhoist.routing.Fixtures.gossipSettings;
import static sorrelhoist.routing.Fixtures.request;
import static sorrelhoist.routing.Fixtures.settings;
import static sorrelhoist.routing.Fixtures.withState;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Follow;
import sorrelhoist.routing.RoutingActions.Probe;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.ClientGone;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.PeerMessage;
import sorrelhoist.routing.RoutingEvents.ProbeAnswered;
import sorrelhoist.routing.RoutingEvents.Seated;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingEvents.StreamStarted;
import sorrelhoist.routing.RoutingEvents.TimerFired;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;
import sorrelhoist.routing.RoutingSettings.Tenant;

/**
 * Tests admission, membership and invalid input at one router. Each test is named after the failure
 * that it guards against.
 */
class RoutingPolicyTest extends SingleRouterTest {
    @Test
    void aDrainingServerGetsNothingMore() {
        List<Server> draining =
                fleet().stream()
                        .map(
                                s ->
                                        s.id().equals("r1") || s.id().equals("w1")
                                                ? withState(s, ServerState.DRAINING, 0)
                                                : s)
                        .toList();
        policy.onEvent(now, new Members(ListUpdateKind.COMPLETE, draining));
        for (int i = 0; i < 40; i++) {
            Send s = arrive(i, "s" + i, null, 1000, 0);
            assertNotEquals("r1", s.server());
            assertNotEquals("w1", completeAnswer(s, 0, 50_000));
        }
    }

    @Test
    void anEmptyListRejectsAtOnceWithARetryAfterHint() {
        RoutingPolicy d = start(defaultSettings(), List.of());
        List<Refuse> refused = all(d.onEvent(now, request(1, null, null, 1000, 0)), Refuse.class);
        assertEquals(1, refused.size());
        assertTrue(refused.get(0).backoffMicros() > 0);
    }

    @Test
    void aTenantOverItsQuotaIsRejectedFirst() {
        RoutingPolicy d =
                start(
                        settings(
                                Idempotency.SAFE,
                                IdempotencyScope.ALL,
                                false,
                                List.of(new Tenant(2), new Tenant(50))),
                        fleet());
        int[] refused = new int[2];
        for (int i = 0; i < 200; i++) {
            now += 10_000;
            Arrived a = new Arrived(i, 0, i % 2, "s" + i, null, 3000, 0, 200, 4 * SECOND);
            refused[i % 2] += all(d.onEvent(now, a), Refuse.class).size();
        }
        assertTrue(
                refused[0] > refused[1],
                refused[0] + " rejected over the quota, within the quota " + refused[1]);
    }

    @Test
    void aFailedCallToDiscoveryIsRepeatedLater() {
        RoutingPolicy d = new RoutingPolicy(gossipSettings(), 1);
        assertTrue(
                d.onEvent(now, new Members(ListUpdateKind.RESTORED, fleet()))
                        .contains(new Follow(true)));
        Timer again =
                all(d.onEvent(now, new Members(ListUpdateKind.UNAVAILABLE, List.of())), Timer.class)
                        .get(0);
        assertTrue(
                d.onEvent(now + again.delayMicros(), new TimerFired(again.token()))
                        .contains(new Follow(true)));
    }

    @Test
    void probesAreSentOnlyWhereAllowedAndNeeded() {
        SettingsBuilder probing = new SettingsBuilder();
        probing.loadReportMode = LoadReportMode.IN_PROBES;
        probing.probes = true;
        RoutingSettings pull = probing.build();
        for (RoutingSettings s : List.of(pull, defaultSettings())) {
            RoutingPolicy d = new RoutingPolicy(s, 1);
            Timer tick =
                    all(d.onEvent(now, new Members(ListUpdateKind.RESTORED, fleet())), Timer.class)
                            .get(0);
            for (int i = 0; i < 20; i++) {
                d.onEvent(now, request(i, "s" + i, null, 1000, 0));
            }
            List<Action> later = d.onEvent(now + tick.delayMicros(), new TimerFired(tick.token()));
            assertEquals(s.equals(pull), !all(later, Probe.class).isEmpty());
        }
    }

    @Test
    void requestsThatWouldMissTheirLatencyObjectiveAreRejectedAtOnce() {
        int refused = 0;
        for (int i = 0; i < 100; i++) {
            refused +=
                    all(policy.onEvent(now, request(i, "s" + i, null, 3000, 0)), Refuse.class)
                            .size();
        }
        assertTrue(refused > 50 && refused < 96, "requests rejected, of 100: " + refused);
    }

    /**
     * Guards against the rejection of clients with broken answers: a crash of servers breaks many
     * answers at once, and the latency objective alone would reject the clients that resume them.
     */
    @Test
    void resumedRequestsAreAdmittedBeyondTheObjectiveButNotWithoutBound() {
        int[] refused = new int[2];
        for (int kind = 0; kind < 2; kind++) {
            RoutingPolicy d = start(defaultSettings(), fleet());
            for (int i = 0; i < 100; i++) {
                Arrived a =
                        new Arrived(i, 0, 0, "s" + i, null, 3000, 0, 200, 4 * SECOND, kind == 1);
                refused[kind] += all(d.onEvent(now, a), Refuse.class).size();
            }
        }
        assertTrue(
                refused[1] > 0 && refused[1] < refused[0] - 10,
                refused[1] + " resumed requests rejected, new ones " + refused[0]);
    }

    /**
     * Guards against unbounded growth: servers join and leave under new ids all day, and the data
     * of departed ones must not accumulate.
     */
    @Test
    void departedServersAreForgotten() {
        List<Server> present = new ArrayList<>(fleet());
        for (int i = 0; i < 400; i++) {
            now += 5 * SECOND;
            Server old = present.remove(0);
            Server fresh =
                    new Server(
                            "n" + i, old.zone(), old.kind(), old.cell(), ServerState.SERVING, 1, 0);
            present.add(fresh);
            policy.onEvent(
                    now,
                    new Members(
                            ListUpdateKind.UPDATE,
                            List.of(withState(old, ServerState.GONE, 0), fresh)));
            serve(i, "s" + i, null, 1000, 0, 0);
        }
        int known = policy.exportKnowledge(now, 100).servers().size();
        assertTrue(known <= fleet().size() + 2 * 60 / 5, known + " servers known, 8 are listed");
    }

    @Test
    void oddButLegalHistoriesDoNotThrow() {
        Send s = arrive(1, "a", null, 1000, 0);
        policy.onEvent(now, new ClientGone(1));
        policy.onEvent(now, new ClientGone(1));
        policy.onEvent(now, ended(s, 0, Outcome.CANCELLED, 10, 0));
        policy.onEvent(now, ended(s, 0, Outcome.READ, 10, 0));
        policy.onEvent(now, new TimerFired(1));
        policy.onEvent(now, new TimerFired(1));
        policy.onEvent(now, new StreamStarted(1, 0, "r1", 5));
        policy.onEvent(now, new ProbeAnswered("never-listed", Outcome.DONE, 5, ServerLoad.NONE));
        policy.onEvent(now, new PeerMessage(1, "hi"));
        policy.onEvent(now, new Members(ListUpdateKind.COMPLETE, List.of()));
        policy.onEvent(now, new Members(ListUpdateKind.COMPLETE, fleet()));
        assertFalse(all(policy.onEvent(now, request(2, "a", null, 1000, 0)), Send.class).isEmpty());
    }

    @Test
    void invalidInputIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> policy.onEvent(5, new TimerFired(1)));
        assertThrows(NullPointerException.class, () -> policy.onEvent(now, null));
        arrive(1, "a", null, 10, 0);
        assertThrows(
                IllegalArgumentException.class,
                () -> policy.onEvent(now, request(1, "a", null, 10, 0)));
        RoutingSettings p = defaultSettings();
        RoutingSettings noKinds =
                new RoutingSettings(
                        2,
                        0,
                        0,
                        false,
                        1,
                        LoadReportMode.NONE,
                        p.classes(),
                        List.of(),
                        List.of(),
                        p.capabilities(),
                        p.serverLimits());
        assertEquals(
                "setting missing or inconsistent: kinds",
                assertThrows(IllegalArgumentException.class, () -> new RoutingPolicy(noKinds, 1))
                        .getMessage());
        assertThrows(IllegalArgumentException.class, () -> new RoutingPolicy(null, 1));
    }

    @Test
    void aChangedNumberOfRoutersChangesTheShares() {
        RoutingPolicy policy = new RoutingPolicy(Fixtures.defaultSettings(), 1);
        policy.onEvent(0, new Members(ListUpdateKind.COMPLETE, Fixtures.fleet()));
        assertTrue(policy.onEvent(1, new Seated(150, 149)).isEmpty());
        assertThrows(IllegalArgumentException.class, () -> policy.onEvent(2, new Seated(0, 0)));
        assertEquals(
                1,
                Fixtures.all(policy.onEvent(3, Fixtures.request(1, "s", "p", 500, 100)), Send.class)
                        .size());
    }
}
