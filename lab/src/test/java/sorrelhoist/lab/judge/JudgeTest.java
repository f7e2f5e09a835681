package sorrelhoist.lab.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The judge is proved: a clean trace passes, and for each rule a doctored one is caught. */
class JudgeTest {
    private static final Judge.Limits FIGURES =
            new Judge.Limits(0, 1_000_000, 500_000, 250_000, Set.of(1));
    private final List<TraceEvent> lines = new ArrayList<>();

    private void line(long ms, String who, String event, String... pairs) {
        StringBuilder text =
                new StringBuilder(
                        "{\"t\":"
                                + (1_000_000_000L + ms * 1000)
                                + ",\"who\":\""
                                + who
                                + "\",\"ev\":\""
                                + event
                                + "\"");
        for (int i = 0; i < pairs.length; i += 2) {
            boolean bare = pairs[i + 1].matches("-?[0-9]+|true|false");
            text.append(
                    ",\"" + pairs[i] + "\":" + (bare ? pairs[i + 1] : "\"" + pairs[i + 1] + "\""));
        }
        try {
            lines.add(TraceEvent.parse(text.append('}').toString()));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private Verdict judge() {
        lines.sort(Comparator.comparingLong(TraceEvent::atMicros));
        return Judge.judge(lines, FIGURES);
    }

    private void caught(int rule, String what) {
        Verdict v = judge();
        assertTrue(
                v.violations().stream()
                        .anyMatch(b -> b.startsWith("rule " + rule) && b.contains(what)),
                v.violations().toString());
    }

    private void sent(long ms, String id, int cls) {
        line(
                ms, "clients", "sent", "req", id, "cls", "" + cls, "edge", "edge-1", "timeout",
                "4000000");
    }

    private void end(long ms, String id, String status, String text, int tokens) {
        line(
                ms,
                "clients",
                "final",
                "req",
                id,
                "status",
                status,
                "cancelled",
                "false",
                "tokens",
                "" + tokens,
                "pieces",
                "" + tokens,
                "text",
                text,
                "first",
                "50000",
                "took",
                "100000");
    }

    /** One request as it should be: read at r1, held, fetched by w1, run, answered. */
    private void good(long at, String id, int cls) {
        sent(at, id, cls);
        line(
                at + 5, "r1", "prefill", "req", "q" + id, "client", id, "edge", "edge-1", "attempt",
                "0");
        line(at + 20, "r1", "prefill_end", "req", "q" + id, "attempt", "0", "how", "read");
        line(at + 20, "r1", "held", "req", "q" + id, "client", id, "state", "s" + id);
        line(
                at + 25, "w1", "decode", "req", "q" + id, "client", id, "edge", "edge-1", "attempt",
                "1");
        line(at + 30, "r1", "freed", "req", "q" + id, "state", "s" + id, "how", "fetched");
        line(at + 40, "w1", "run", "req", "q" + id, "client", id, "attempt", "1");
        line(
                at + 80,
                "w1",
                "decode_end",
                "req",
                "q" + id,
                "attempt",
                "1",
                "how",
                "done",
                "tokens",
                "3");
        end(at + 85, id, "OK", "oak0 elm1 ash2 ", 3);
    }

    @Test
    void aCleanTracePasses() {
        good(0, "a", 0);
        good(10, "b", 1);
        sent(100, "c", 0);
        end(140, "c", "RESOURCE_EXHAUSTED", "", 0);
        Verdict v = judge();
        assertEquals(List.of(), v.violations());
        assertEquals(3, v.requests());
        assertEquals(2, v.served());
        assertEquals(1, v.rejected());
        assertTrue(v.table().contains("served"));
    }

    @Test
    void rule1CatchesAMissingASecondALateAndAGarbledAnswer() {
        good(0, "a", 0);
        sent(50, "b", 0);
        caught(1, "no final answer");
        end(4200, "b", "OK", "oak0 ", 1);
        caught(1, "not answered in time");
        end(4300, "b", "OK", "oak0 ", 1);
        caught(1, "second final");
        sent(50, "c", 0);
        end(100, "c", "OK", "oak0 elm2 ", 2);
        caught(1, "token 1");
        sent(50, "d", 0);
        end(100, "d", "OK", "oak0 ", 2);
        caught(1, "says 2 tokens");
        line(200, "clients", "after", "req", "d");
        caught(1, "more after its final");
    }

    @Test
    void rule1ExcusesOnlyWhatAKilledEdgeHeld() {
        good(0, "a", 0);
        sent(100, "b", 0);
        end(300, "b", "BROKEN", "", 0);
        line(200, "clients", "killed", "target", "edge-1");
        assertEquals(List.of(), judge().violations());
        sent(1000, "c", 0);
        end(1100, "c", "BROKEN", "", 0);
        caught(1, "not answered in time: BROKEN");
    }

    @Test
    void rule2CatchesAnUnsafeRequestThatRanTwice() {
        good(0, "a", 1);
        line(60, "w2", "run", "req", "qa", "client", "a", "attempt", "2");
        caught(2, "ran 2 times");
    }

    @Test
    void rule2CatchesTwoAttemptsOutAndLetsOneOnItsWayOutPass() {
        good(0, "a", 0);
        sent(1000, "b", 0);
        line(1005, "r1", "prefill", "req", "qb", "client", "b", "edge", "edge-1", "attempt", "0");
        line(1010, "r2", "prefill", "req", "qb", "client", "b", "edge", "edge-1", "attempt", "1");
        line(1200, "r1", "prefill_end", "req", "qb", "attempt", "0", "how", "cancelled");
        line(1300, "r2", "prefill_end", "req", "qb", "attempt", "1", "how", "cancelled");
        end(1310, "b", "RESOURCE_EXHAUSTED", "", 0);
        assertEquals(List.of(), judge().violations());
        line(1900, "r1", "prefill", "req", "qc", "client", "c", "edge", "edge-1", "attempt", "0");
        line(1910, "r2", "prefill", "req", "qc", "client", "c", "edge", "edge-1", "attempt", "1");
        line(2900, "r1", "prefill_end", "req", "qc", "attempt", "0", "how", "read");
        line(2950, "r2", "prefill_end", "req", "qc", "attempt", "1", "how", "read");
        caught(2, "two attempts out");
    }

    @Test
    void rule3CatchesWorkSentAfterTheGrace() {
        good(0, "a", 0);
        line(1000, "registry", "listed", "engine", "w1", "status", "OUT_OF_SERVICE");
        good(2000, "b", 0);
        assertEquals(List.of(), judge().violations());
        good(2500, "c", 0);
        caught(3, "edge-1 sent to w1");
    }

    @Test
    void rule3CountsAnewFromARestartAndNotWhereThePlannerDiedFirst() {
        line(1000, "registry", "listed", "engine", "w1", "status", "GONE");
        line(1500, "w1", "start", "engine", "w1");
        good(4000, "a", 0);
        line(5000, "registry", "listed", "engine", "w1", "status", "OUT_OF_SERVICE");
        line(5100, "clients", "killed", "target", "planner");
        good(9000, "b", 0);
        assertEquals(List.of(), judge().violations());
    }

    @Test
    void rule4CatchesAColdEngineThatFell() {
        good(0, "a", 0);
        line(100, "w2", "fell");
        caught(4, "w2");
    }

    @Test
    void rule5CatchesAStateThatNobodyTakes() {
        good(0, "a", 0);
        line(1000, "r1", "prefill", "req", "qb", "client", "b", "edge", "edge-1", "attempt", "0");
        line(1020, "r1", "prefill_end", "req", "qb", "attempt", "0", "how", "read");
        line(1020, "r1", "held", "req", "qb", "client", "b", "state", "sb");
        line(1700, "r1", "freed", "req", "qb", "state", "sb", "how", "released");
        assertEquals(List.of(), judge().violations());
        line(2000, "r1", "prefill", "req", "qc", "client", "c", "edge", "edge-1", "attempt", "0");
        line(2020, "r1", "prefill_end", "req", "qc", "attempt", "0", "how", "read");
        line(2020, "r1", "held", "req", "qc", "client", "c", "state", "sc");
        line(4500, "r1", "freed", "req", "qc", "state", "sc", "how", "expired");
        caught(5, "state sc");
    }

    @Test
    void rule5KnowsOfAttemptsThatNoStandInCouldHear() {
        line(900, "w2", "told", "command", "cut 2000");
        line(1000, "r1", "prefill", "req", "qb", "client", "b", "edge", "edge-1", "attempt", "0");
        line(1020, "r1", "prefill_end", "req", "qb", "attempt", "0", "how", "read");
        line(1020, "r1", "held", "req", "qb", "client", "b", "state", "sb");
        line(2100, "w1", "decode", "req", "qb", "client", "b", "edge", "edge-1", "attempt", "2");
        line(2110, "r1", "freed", "req", "qb", "state", "sb", "how", "fetched");
        assertEquals(List.of(), judge().violations());
        line(1000, "r1", "prefill", "req", "qd", "client", "d", "edge", "edge-1", "attempt", "0");
        line(1020, "r1", "prefill_end", "req", "qd", "attempt", "0", "how", "read");
        line(1020, "r1", "held", "req", "qd", "client", "d", "state", "sd");
        line(2100, "w1", "decode", "req", "qd", "client", "d", "edge", "edge-1", "attempt", "1");
        line(2110, "r1", "freed", "req", "qd", "state", "sd", "how", "fetched");
        caught(5, "state sd");
    }
}
