package sorrelhoist;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.Fixtures.*;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.Routing.*;

/** What one router has learnt serves another; what is stale, replaced or false costs no rule. */
class KnowledgeTest {
    private static Decide fresh() {
        Decide d = new Decide(plain(), 3);
        d.on(0, new Members(ListForm.COMPLETE, fleet()));
        return d;
    }

    /** A router that knows: one session's text is kept at r3, of all readers. */
    private static Decide teacher() {
        Decide d = fresh();
        for (int i = 0; i < 30; i++) {
            Send s = send(d.on(1000 + i * 100_000L, request(i, "other" + i, "pre" + i, 900, 300)));
            d.on(50_000 + i * 100_000L, ended(s, 0, Outcome.READ, 49_000, 0));
            d.on(60_000 + i * 100_000L, new ClientGone(i));
        }
        return d;
    }

    private static Knowledge onlyKey(String server, long since, long age) {
        Knowledge.Sums none = new Knowledge.Sums(0, 0, 0, 0, 0);
        return new Knowledge(
                List.of(
                        new Knowledge.Key(
                                "talk",
                                age,
                                3,
                                List.of(new Knowledge.Holding(server, since, 900)))),
                List.of(),
                List.of(),
                none);
    }

    private static String readerOf(Decide d, long at) {
        return send(d.on(at, request(77, "talk", null, 1000, 0))).server();
    }

    @Test
    void aTaughtHolderIsExploited() {
        String untaught = readerOf(fresh(), SECOND);
        for (String reader : new String[] {"r1", "r2", "r3", "r4"}) {
            Decide d = fresh();
            d.learn(SECOND, onlyKey(reader, 0, 0), 0);
            assertEquals(reader, readerOf(d, SECOND));
        }
        assertTrue(untaught.startsWith("r"));
    }

    @Test
    void whatIsOldOrOfAnotherProcessIsPassedOver() {
        String untaught = readerOf(fresh(), SECOND);
        String other = untaught.equals("r1") ? "r2" : "r1";
        for (Knowledge k :
                List.of(
                        onlyKey(other, 0, 61 * SECOND),
                        onlyKey(other, 5, 0),
                        onlyKey("gone", 0, 0))) {
            Decide d = fresh();
            d.learn(SECOND, k, 0);
            assertEquals(untaught, readerOf(d, SECOND));
        }
        Decide d = fresh();
        d.learn(SECOND, onlyKey(other, 0, 0), 70 * SECOND);
        assertEquals(untaught, readerOf(d, SECOND));
    }

    @Test
    void ownEvidenceStays() {
        Decide d = fresh();
        String own = readerOf(d, SECOND);
        String other = own.equals("r1") ? "r2" : "r1";
        d.learn(2 * SECOND, onlyKey(other, 0, 0), 0);
        assertTrue(
                d.known(2 * SECOND, 100).keys().stream()
                        .filter(k -> k.name().equals("talk"))
                        .allMatch(
                                k ->
                                        k.holders().stream()
                                                .noneMatch(h -> h.server().equals(other))));
    }

    @Test
    void whatIsKnownComesBackAfterARestart() {
        Knowledge k = teacher().known(4 * SECOND, 1000);
        assertEquals(60, k.keys().size());
        Decide next = fresh();
        next.learn(5 * SECOND, k, SECOND);
        Knowledge again = next.known(5 * SECOND, 1000);
        assertEquals(60, again.keys().size());
        assertEquals(k.keys().get(59).holders(), again.keys().get(59).holders());
        assertNotEquals(new Decide(plain(), 3).known(0, 10).reads().get(0), again.reads().get(0));
        assertEquals(10, teacher().known(4 * SECOND, 10).keys().size());
    }

    @Test
    void hearsayIsNotToldOnAndAKeyGrowsNoYoungerInACircle() {
        Decide a = fresh();
        Decide b = fresh();
        Knowledge.Sums none = new Knowledge.Sums(0, 0, 0, 0, 0);
        a.learn(
                SECOND,
                new Knowledge(
                        onlyKey("r2", 0, 10 * SECOND).keys(),
                        List.of(new Knowledge.Health("r1", 0, 0.9, 5, 50)),
                        List.of(),
                        none),
                0);
        assertEquals(List.of(), a.known(SECOND, 10).servers());
        for (long t = 2; t < 20; t++) {
            b.learn(t * SECOND, a.known(t * SECOND, 10), 0);
            a.learn(t * SECOND, b.known(t * SECOND, 10), 0);
        }
        Knowledge.Key key = a.known(20 * SECOND, 10).keys().get(0);
        assertEquals(29 * SECOND, key.age());
        assertEquals(3, key.uses());
        assertEquals(key, b.known(20 * SECOND, 10).keys().get(0));
    }

    @Test
    void aFalseTeacherBreaksNoRule() {
        Decide d = fresh();
        d.on(
                SECOND,
                new Members(
                        ListForm.UPDATE, List.of(with(reader("r1", 0), ServerState.DRAINING, 0))));
        Knowledge.Sums wild = new Knowledge.Sums(Double.NaN, -1, 0, 1, 1);
        Knowledge lies =
                new Knowledge(
                        List.of(
                                new Knowledge.Key(
                                        "talk",
                                        0,
                                        -5,
                                        List.of(new Knowledge.Holding("r1", 0, Long.MAX_VALUE)))),
                        List.of(
                                new Knowledge.Health("r2", 0, 99, 1e9, -1),
                                new Knowledge.Health("r3", 0, Double.NaN, Double.NaN, 0)),
                        List.of(wild, wild, wild),
                        wild);
        d.learn(SECOND, lies, 0);
        Send first = send(d.on(SECOND, request(77, "talk", null, 1000, 0)));
        assertNotEquals("r1", first.server());
        d.on(SECOND + 50_000, ended(first, 0, Outcome.READ, 50_000, 0));
        d.on(SECOND + 60_000, new ClientGone(77));
        // Nobody is set aside by hearsay alone: all three that serve are still used.
        java.util.Set<String> used = new java.util.TreeSet<>();
        for (long i = 100; i < 160; i++) {
            Send s = send(d.on(2 * SECOND + i * 100_000, request(i, "s" + i, "p" + i, 500, 100)));
            used.add(s.server());
            d.on(2 * SECOND + i * 100_000 + 30_000, ended(s, 0, Outcome.READ, 30_000, 0));
            d.on(2 * SECOND + i * 100_000 + 40_000, new ClientGone(i));
        }
        assertEquals(java.util.Set.of("r2", "r3", "r4"), used);
    }
}
