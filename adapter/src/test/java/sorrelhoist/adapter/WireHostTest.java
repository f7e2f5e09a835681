package sorrelhoist.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.Routing.*;

class WireHostTest {
    private static final String BOOT =
            """
            {"balancers":2,"me":0,"zone":0,"discovery":"push","domain-type":"twostage","later":{"x":[1]},
            "feedback":{"columns":["x0"],"how":"piggyback"},"orgs":[{"name":"a","allowance-per-s":4,"share":0.5}],
            "limits":{"send-cap":5,"cancel":true,"probing":false,"retry-after":true,"max-retry-after-us":900000},
            "request-classes":[{"aim-us":1000000,"semantics":"read_like","worth":2.5,"key-scope":"zone"}],
            "rules":{"cold-from":0.26,"cold-us":12000000,"fall-multiple":3.0,"fall-us":3000000},
            "specifics":{"aim-us-per-1000-prompt-tokens":[40000.0],"memory-tokens":[2000,3000],
            "release-within-us":500000,"stage-of-kind":["read","write"],"writers-read":true}}\
            """
                    .replace("\n", "");
    private static final String HELLO =
            "{\"op\":\"hello\",\"router-id\":3,\"nonce64\":5,\"boot-info\":" + BOOT + "}";
    private static final String LIST =
            "{\"op\":\"list\",\"buffer\":0,\"rows-in\":[{\"worker\":\"r\",\"state\":"
                + "\"in_service\",\"group\":1},{\"worker\":\"w\",\"kind\":1,\"group\":1,\"state\":\"in_service\","
                + "\"since-us\":6}]}";
    private static final String MEMBERS =
            "{\"op\":\"members\",\"router-id\":3,\"buffer\":0,\"form\":\"restored\"}";
    private static final String KNOCK =
            "{\"op\":\"knock\",\"router-id\":3,\"msg-id\":9,\"class\":0,\"talk\":\"chat/k\","
                + "\"budget-us\":2000000,\"prefix\":\"p:c\",\"n-prompt\":1800,\"n-prefix\":1200,\"max-tokens\":256}";

    private String out;
    private String err;

    private int run(String... lines) {
        ByteArrayOutputStream stdout = new ByteArrayOutputStream();
        ByteArrayOutputStream stderr = new ByteArrayOutputStream();
        byte[] input = (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8);
        int exit =
                new SimulatorAdapter()
                        .run(new ByteArrayInputStream(input), stdout, new PrintStream(stderr));
        out = stdout.toString(StandardCharsets.UTF_8);
        err = stderr.toString(StandardCharsets.UTF_8);
        return exit;
    }

    private static String batch(int round, long time, String... messages) {
        return "{\"time-us\":"
                + time
                + ",\"round\":"
                + round
                + ",\"msgs\":["
                + String.join(",", messages)
                + "]}";
    }

    private static Event event(String json) throws InvalidMessageException {
        JsonObject m = JsonObject.parse(json);
        RoutingSettings s = SettingsDecoder.decode(JsonObject.parse(BOOT));
        return SettingsDecoder.event(m.getString("op"), m, s, Map.of(0L, JsonObject.parse(LIST)));
    }

    @Test
    void whoeverHearsItHearsEveryEventWithWhatWasSaid() {
        java.util.List<String> heard = new java.util.ArrayList<>();
        SimulatorAdapter host =
                new SimulatorAdapter(
                        new SimulatorAdapter.DecisionListener() {
                            @Override
                            public void started(long router, RoutingSettings settings, long seed) {
                                heard.add(
                                        "start " + router + " " + seed + " " + settings.routers());
                            }

                            @Override
                            public void told(
                                    long router, long now, Event event, List<Action> actions) {
                                heard.add(
                                        router
                                                + " "
                                                + now
                                                + " "
                                                + event.getClass().getSimpleName()
                                                + " "
                                                + actions.size());
                            }
                        });
        String batch =
                "{\"round\":1,\"time-us\":5,\"msgs\":["
                        + HELLO
                        + ","
                        + LIST
                        + ","
                        + MEMBERS
                        + ","
                        + KNOCK
                        + "]}";
        assertEquals(
                0,
                host.run(
                        new ByteArrayInputStream(batch.getBytes(StandardCharsets.UTF_8)),
                        new ByteArrayOutputStream(),
                        new PrintStream(new ByteArrayOutputStream())));
        assertEquals("start 3 5 2", heard.get(0));
        assertTrue(heard.get(1).startsWith("3 5 Members "), heard.toString());
        assertTrue(
                heard.get(2).startsWith("3 5 Arrived ") && !heard.get(2).endsWith(" 0"),
                heard.toString());
        assertEquals(3, heard.size());
    }

    @Test
    void emptyBatchesAreEchoedAndTheEndExitsWithZero() {
        assertEquals(0, run(batch(1, 5), batch(2, 6)));
        assertEquals("{\"round\":1,\"output\":[]}\n{\"round\":2,\"output\":[]}\n", out);
        assertEquals("", err);
    }

    @Test
    void aRequestGoesToTheReaderAndThenToTheWriter() {
        assertEquals(
                0,
                run(
                        batch(1, 10, HELLO, LIST, MEMBERS),
                        batch(2, 20, KNOCK),
                        batch(
                                3,
                                60,
                                "{\"op\":\"closed-attempt\",\"router-id\":3,\"msg-id\":9,\"hop\":0,\"worker\":\"r\",\"reason\":\"read\","
                                    + "\"took-us\":40}")));
        String[] replies = out.split("\n");
        assertTrue(
                replies[1].contains(
                        "\"op\":\"assign\",\"router-id\":3,\"msg-id\":9,\"worker\":\"r\""),
                out);
        assertTrue(
                replies[2].contains(
                        "\"op\":\"assign\",\"router-id\":3,\"msg-id\":9,\"worker\":\"w\""),
                out);
    }

    @Test
    void aStoppedInstanceIsForgottenAndMayStartAgain() {
        String stop = "{\"op\":\"teardown\",\"router-id\":3}";
        assertEquals(
                0, run(batch(1, 10, HELLO, LIST, MEMBERS), batch(2, 20, stop, HELLO, MEMBERS)));
        assertEquals(1, run(batch(1, 10, HELLO, LIST, MEMBERS), batch(2, 20, stop, KNOCK)));
        assertTrue(err.contains("not started"), err);
    }

    @Test
    void settingsAreTranslated() throws InvalidMessageException {
        RoutingSettings s = SettingsDecoder.decode(JsonObject.parse(BOOT));
        assertEquals(
                List.of(
                        new RequestClass(
                                1_000_000,
                                40_000,
                                2.5,
                                Idempotency.SAFE,
                                IdempotencyScope.ZONE,
                                0)),
                s.classes());
        assertEquals(
                List.of(new ServerKind(Role.READ, 2000), new ServerKind(Role.WRITE, 3000)),
                s.serverKinds());
        assertEquals(List.of(new Tenant(4)), s.tenants());
        assertEquals(
                new Capabilities(5, true, false, true, 900_000, true, false, 0, 0),
                s.capabilities());
        assertEquals(new ServerLimits(0.26, 12_000_000, 3, 3_000_000, 500_000), s.serverLimits());
        assertEquals(LoadReportMode.IN_OUTCOMES, s.loadReportMode());
        assertFalse(s.subscribesToDiscovery());
    }

    @Test
    void everyEventIsTranslated() throws InvalidMessageException {
        assertEquals(
                new Arrived(9, 0, 0, "chat/k", "p:c", 1800, 1200, 256, 2_000_000), event(KNOCK));
        assertEquals(
                new Arrived(9, 0, 0, null, null, 0, 0, 0, 7),
                event("{\"op\":\"knock\",\"msg-id\":9,\"class\":0,\"budget-us\":7}"));
        assertEquals(
                new Members(
                        ListUpdateKind.RESTORED,
                        List.of(
                                new Server("r", 0, 0, 1, ServerState.SERVING, 1, 0),
                                new Server("w", 0, 1, 1, ServerState.SERVING, 1, 6))),
                event(MEMBERS));
        assertEquals(
                new Members(ListUpdateKind.UNAVAILABLE, List.of()),
                event("{\"op\":\"members\",\"form\":\"unavailable\"}"));
        assertEquals(
                new PlaceAnswered(9, "w", true),
                event(
                        "{\"op\":\"booking\",\"msg-id\":9,\"worker\":\"w\",\"hop\":0,\"kind\":1,\"x\":0}"));
        assertEquals(
                new PlaceAnswered(9, "w", false),
                event(
                        "{\"op\":\"booking\",\"msg-id\":9,\"worker\":\"w\",\"hop\":0,\"kind\":2,\"x\":0}"));
        assertEquals(
                new AttemptEnded(
                        9,
                        1,
                        "w",
                        Outcome.FULL,
                        30,
                        true,
                        1,
                        new ServerLoad(0.5, Double.NaN, Double.NaN, Double.NaN)),
                event(
                        "{\"op\":\"closed-attempt\",\"msg-id\":9,\"hop\":1,\"worker\":\"w\",\"reason\":\"busy\","
                            + "\"took-us\":30,\"ended\":true,\"info\":1,\"health-info\":{\"x0\":0.5}}"));
        assertEquals(new TimerFired(77), event("{\"op\":\"bell\",\"label\":77}"));
        assertEquals(
                new PeerMessage(1, "hi"),
                event("{\"op\":\"inbox\",\"src-peer\":1,\"body\":\"hi\"}"));
        assertEquals(new ClientGone(9), event("{\"op\":\"cancelled-by-client\",\"msg-id\":9}"));
        assertEquals(
                new StreamStarted(9, 1, "w", 30),
                event(
                        "{\"op\":\"under-way\",\"msg-id\":9,\"hop\":1,\"worker\":\"w\",\"took-us\":30}"));
        assertEquals(
                new ProbeAnswered(
                        "w",
                        Outcome.DONE,
                        30,
                        new ServerLoad(Double.NaN, 2000, Double.NaN, Double.NaN)),
                event(
                        "{\"op\":\"status-back\",\"reason\":\"done\",\"worker\":\"w\",\"took-us\":30,"
                            + "\"health-info\":{\"x1\":2}}"));
    }

    @ParameterizedTest
    @CsvSource({
        "done,DONE",
        "read,READ",
        "err,ERROR",
        "busy,FULL",
        "etimedout,TIMED_OUT",
        "econnrefused,CONNECT_FAILED",
        "econnreset,RESET",
        "ecanceled,CANCELLED",
        "skipped,SKIPPED"
    })
    void everyReasonIsTranslated(String word, Outcome outcome) throws InvalidMessageException {
        AttemptEnded e =
                (AttemptEnded)
                        event(
                                "{\"op\":\"closed-attempt\",\"msg-id\":9,\"hop\":0,\"worker\":\"w\","
                                    + "\"reason\":\""
                                        + word
                                        + "\",\"took-us\":1}");
        assertEquals(outcome, e.outcome());
    }

    @Test
    void everyActionIsTranslated() {
        ActionEncoder reply = new ActionEncoder(4);
        reply.add(
                3,
                List.of(
                        new Send(9, "w", 50, Reason.UNKNOWN),
                        new Timer(5, 77),
                        new Release(9),
                        new Refuse(9, 6, Reason.UNKNOWN),
                        new Fail(9, Reason.UNKNOWN),
                        new Cancel(9, 1, Reason.UNKNOWN),
                        new Reserve(9, "w"),
                        new Move(9),
                        new Probe("w"),
                        new CloseIdle("w"),
                        new Tell(-1, "hi \"7\""),
                        new Follow(true),
                        new FetchList(),
                        new Log("x")));
        String r = "\"router-id\":3";
        assertEquals(
                "{\"round\":4,\"output\":[{\"op\":\"assign\","
                        + r
                        + ",\"msg-id\":9,\"worker\":\"w\",\"cut-at-us\":50},"
                        + "{\"op\":\"arm\","
                        + r
                        + ",\"wait-us\":5,\"label\":77},{\"op\":\"unhold\","
                        + r
                        + ",\"msg-id\":9},"
                        + "{\"op\":\"turn-away\","
                        + r
                        + ",\"msg-id\":9,\"backoff-us\":6},"
                        + "{\"op\":\"drop-request\","
                        + r
                        + ",\"msg-id\":9},{\"op\":\"abandon\","
                        + r
                        + ",\"msg-id\":9,\"hop\":1},"
                        + "{\"op\":\"ahead\","
                        + r
                        + ",\"msg-id\":9,\"worker\":\"w\"},{\"op\":\"relocate\","
                        + r
                        + ",\"msg-id\":9},"
                        + "{\"op\":\"poll\","
                        + r
                        + ",\"worker\":\"w\"},{\"op\":\"close\","
                        + r
                        + ",\"worker\":\"w\"},"
                        + "{\"op\":\"write-peer\","
                        + r
                        + ",\"dst\":-1,\"body\":\"hi \\\"7\\\"\"},"
                        + "{\"op\":\"follow\","
                        + r
                        + ",\"want\":true},{\"op\":\"snapshot\","
                        + r
                        + "},"
                        + "{\"op\":\"trace\","
                        + r
                        + ",\"note-text\":\"x\"}]}\n",
                reply.line());
    }

    private void faults(String line, String... words) {
        assertEquals(1, run(batch(1, 10, HELLO, LIST, MEMBERS), line), line);
        assertEquals(1, out.split("\n").length, "no half reply: " + out);
        assertEquals(1, err.split("\n").length, "one line: " + err);
        for (String word : words) {
            assertTrue(err.contains(word), word + " in " + err);
        }
    }

    @Test
    void badInputIsNamedInOneLineWithItsPlace() {
        faults("{\"time-us\":1,", "line 2", "malformed JSON");
        faults("[]", "line 2", "malformed JSON");
        faults("{\"time-us\":20,\"msgs\":[]}", "line 2", "round");
        faults(
                batch(2, 20, "{\"op\":\"zap\",\"router-id\":3}"),
                "round 2",
                "message 0",
                "op",
                "zap");
        faults(
                batch(2, 20, KNOCK.replace("\"budget-us\":2000000,", "")),
                "round 2",
                "message 0",
                "budget-us");
        faults(
                batch(2, 20, KNOCK.replace("\"class\":0", "\"class\":1")),
                "message 0",
                "class",
                "range");
        faults(batch(2, 20, KNOCK.replace(":9,", ":4503599627370496,")), "msg-id", "range");
        faults(
                batch(2, 20, KNOCK.replace("\"n-prompt\":1800", "\"n-prompt\":-1")),
                "n-prompt",
                "range");
        faults(
                batch(2, 20, KNOCK.replace("\"n-prompt\":1800", "\"n-prompt\":\"x\"")),
                "n-prompt",
                "number");
        faults(
                batch(
                        2,
                        20,
                        "{\"op\":\"bell\",\"router-id\":3,\"label\":1}",
                        KNOCK.replace(":3,", ":4,")),
                "round 2",
                "message 1",
                "router-id",
                "not started");
        faults(
                batch(2, 20, MEMBERS.replace("\"buffer\":0", "\"buffer\":7")),
                "buffer",
                "never defined");
        faults(batch(2, 20, LIST.replace("\"buffer\":0", "\"buffer\":16")), "buffer", "range");
        faults(
                batch(2, 20, HELLO.replace("read_like", "maybe")),
                "boot-info",
                "semantics",
                "maybe");
        faults(batch(2, 5, KNOCK), "round 2", "message 0", "clock");
    }
}
