package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.SECOND;
import static sorrelhoist.routing.Fixtures.defaultSettings;
import static sorrelhoist.routing.Fixtures.ended;
import static sorrelhoist.routing.Fixtures.fleet;
import static sorrelhoist.routing.Fixtures.prefillServer;
import static sorrelhoist.routing.Fixtures.request;
import static sorrelhoist.routing.Fixtures.send;
import static sorrelhoist.routing.Fixtures.withState;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.ClientGone;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerState;

/**
 * Tests that a router's knowledge is useful to another one, and that outdated, replaced or false
 * knowledge breaks no rule.
 */
class KnowledgeTest {
    private static RoutingPolicy fresh() {
        RoutingPolicy d = new RoutingPolicy(defaultSettings(), 3);
        d.onEvent(0, new Members(ListUpdateKind.COMPLETE, fleet()));
        return d;
    }

    /** Returns a router that has learned from the prefills of 30 sessions. */
    private static RoutingPolicy trainedPolicy() {
        RoutingPolicy d = fresh();
        for (int i = 0; i < 30; i++) {
            Send s =
                    send(
                            d.onEvent(
                                    1000 + i * 100_000L,
                                    request(i, "other" + i, "pre" + i, 900, 300)));
            d.onEvent(50_000 + i * 100_000L, ended(s, 0, Outcome.READ, 49_000, 0));
            d.onEvent(60_000 + i * 100_000L, new ClientGone(i));
        }
        return d;
    }

    private static Knowledge singlePrefix(String server, long since, long age) {
        Knowledge.RegressionSums none = new Knowledge.RegressionSums(0, 0, 0, 0, 0);
        return new Knowledge(
                List.of(
                        new Knowledge.PrefixEntry(
                                "talk",
                                age,
                                3,
                                List.of(new Knowledge.PrefixHolder(server, since, 900)))),
                List.of(),
                List.of(),
                none);
    }

    private static String prefillServerOf(RoutingPolicy d, long at) {
        return send(d.onEvent(at, request(77, "talk", null, 1000, 0))).server();
    }

    @Test
    void anImportedPrefixHolderIsUsed() {
        String untaught = prefillServerOf(fresh(), SECOND);
        for (String reader : new String[] {"r1", "r2", "r3", "r4"}) {
            RoutingPolicy d = fresh();
            d.importKnowledge(SECOND, singlePrefix(reader, 0, 0), 0);
            assertEquals(reader, prefillServerOf(d, SECOND));
        }
        assertTrue(untaught.startsWith("r"));
    }

    @Test
    void oldKnowledgeAndThatOfAnotherProcessIsIgnored() {
        String untaught = prefillServerOf(fresh(), SECOND);
        String other = untaught.equals("r1") ? "r2" : "r1";
        for (Knowledge k :
                List.of(
                        singlePrefix(other, 0, 61 * SECOND),
                        singlePrefix(other, 5, 0),
                        singlePrefix("gone", 0, 0))) {
            RoutingPolicy d = fresh();
            d.importKnowledge(SECOND, k, 0);
            assertEquals(untaught, prefillServerOf(d, SECOND));
        }
        RoutingPolicy d = fresh();
        d.importKnowledge(SECOND, singlePrefix(other, 0, 0), 70 * SECOND);
        assertEquals(untaught, prefillServerOf(d, SECOND));
    }

    @Test
    void ownObservationsAreNotReplaced() {
        RoutingPolicy d = fresh();
        String own = prefillServerOf(d, SECOND);
        String other = own.equals("r1") ? "r2" : "r1";
        d.importKnowledge(2 * SECOND, singlePrefix(other, 0, 0), 0);
        assertTrue(
                d.exportKnowledge(2 * SECOND, 100).keys().stream()
                        .filter(k -> k.name().equals("talk"))
                        .allMatch(
                                k ->
                                        k.holders().stream()
                                                .noneMatch(h -> h.server().equals(other))));
    }

    @Test
    void knowledgeSurvivesARestart() {
        Knowledge k = trainedPolicy().exportKnowledge(4 * SECOND, 1000);
        assertEquals(60, k.keys().size());
        RoutingPolicy next = fresh();
        next.importKnowledge(5 * SECOND, k, SECOND);
        Knowledge again = next.exportKnowledge(5 * SECOND, 1000);
        assertEquals(60, again.keys().size());
        assertEquals(k.keys().get(59).holders(), again.keys().get(59).holders());
        assertNotEquals(
                new RoutingPolicy(defaultSettings(), 3)
                        .exportKnowledge(0, 10)
                        .prefillTimes()
                        .get(0),
                again.prefillTimes().get(0));
        assertEquals(10, trainedPolicy().exportKnowledge(4 * SECOND, 10).keys().size());
    }

    @Test
    void importedHealthIsNotExportedAndRepeatedExchangeKeepsThePrefixAge() {
        RoutingPolicy a = fresh();
        RoutingPolicy b = fresh();
        Knowledge.RegressionSums none = new Knowledge.RegressionSums(0, 0, 0, 0, 0);
        a.importKnowledge(
                SECOND,
                new Knowledge(
                        singlePrefix("r2", 0, 10 * SECOND).keys(),
                        List.of(new Knowledge.ServerHealth("r1", 0, 0.9, 5, 50)),
                        List.of(),
                        none),
                0);
        assertEquals(List.of(), a.exportKnowledge(SECOND, 10).servers());
        for (long t = 2; t < 20; t++) {
            b.importKnowledge(t * SECOND, a.exportKnowledge(t * SECOND, 10), 0);
            a.importKnowledge(t * SECOND, b.exportKnowledge(t * SECOND, 10), 0);
        }
        Knowledge.PrefixEntry key = a.exportKnowledge(20 * SECOND, 10).keys().get(0);
        assertEquals(29 * SECOND, key.ageMicros());
        assertEquals(3, key.uses());
        assertEquals(key, b.exportKnowledge(20 * SECOND, 10).keys().get(0));
    }

    @Test
    void falseKnowledgeBreaksNoRule() {
        RoutingPolicy d = fresh();
        d.onEvent(
                SECOND,
                new Members(
                        ListUpdateKind.UPDATE,
                        List.of(withState(prefillServer("r1", 0), ServerState.DRAINING, 0))));
        Knowledge.RegressionSums wild = new Knowledge.RegressionSums(Double.NaN, -1, 0, 1, 1);
        Knowledge falseKnowledge =
                new Knowledge(
                        List.of(
                                new Knowledge.PrefixEntry(
                                        "talk",
                                        0,
                                        -5,
                                        List.of(
                                                new Knowledge.PrefixHolder(
                                                        "r1", 0, Long.MAX_VALUE)))),
                        List.of(
                                new Knowledge.ServerHealth("r2", 0, 99, 1e9, -1),
                                new Knowledge.ServerHealth("r3", 0, Double.NaN, Double.NaN, 0)),
                        List.of(wild, wild, wild),
                        wild);
        d.importKnowledge(SECOND, falseKnowledge, 0);
        Send first = send(d.onEvent(SECOND, request(77, "talk", null, 1000, 0)));
        assertNotEquals("r1", first.server());
        d.onEvent(SECOND + 50_000, ended(first, 0, Outcome.READ, 50_000, 0));
        d.onEvent(SECOND + 60_000, new ClientGone(77));
        // No server is avoided because of imported reports alone: all three serving ones are used.
        java.util.Set<String> used = new java.util.TreeSet<>();
        for (long i = 100; i < 160; i++) {
            Send s =
                    send(
                            d.onEvent(
                                    2 * SECOND + i * 100_000,
                                    request(i, "s" + i, "p" + i, 500, 100)));
            used.add(s.server());
            d.onEvent(2 * SECOND + i * 100_000 + 30_000, ended(s, 0, Outcome.READ, 30_000, 0));
            d.onEvent(2 * SECOND + i * 100_000 + 40_000, new ClientGone(i));
        }
        assertEquals(java.util.Set.of("r2", "r3", "r4"), used);
    }
}
