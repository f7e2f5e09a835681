package sorrelhoist.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.adapter.SimulatorMessages.LIST;
import static sorrelhoist.adapter.SimulatorMessages.MEMBERS;
import static sorrelhoist.adapter.SimulatorMessages.REQUEST;
import static sorrelhoist.adapter.SimulatorMessages.START;
import static sorrelhoist.adapter.SimulatorMessages.STOP;
import static sorrelhoist.adapter.SimulatorMessages.batch;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingSettings;

class SimulatorAdapterTest {
    private String out;
    private String err;

    private int run(String... lines) {
        return run(new SimulatorAdapter(), lines);
    }

    private int run(SimulatorAdapter adapter, String... lines) {
        ByteArrayOutputStream stdout = new ByteArrayOutputStream();
        ByteArrayOutputStream stderr = new ByteArrayOutputStream();
        byte[] input = (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8);
        int exit = adapter.run(new ByteArrayInputStream(input), stdout, new PrintStream(stderr));
        out = stdout.toString(StandardCharsets.UTF_8);
        err = stderr.toString(StandardCharsets.UTF_8);
        return exit;
    }

    /** Records each call as one line. */
    private static final class RecordingListener implements SimulatorAdapter.DecisionListener {
        final List<String> notes = new ArrayList<>();

        @Override
        public void onRouterStarted(long routerId, RoutingSettings settings, long seed) {
            notes.add("start " + routerId + " " + seed + " " + settings.routers());
        }

        @Override
        public void onDecision(long routerId, long now, Event event, List<Action> actions) {
            String type = event.getClass().getSimpleName();
            notes.add(routerId + " " + now + " " + type + " " + actions.size());
        }
    }

    @Test
    void aListenerReceivesEveryEventWithItsActions() {
        RecordingListener listener = new RecordingListener();
        SimulatorAdapter adapter = new SimulatorAdapter(listener);
        assertEquals(0, run(adapter, batch(1, 5, START, LIST, MEMBERS, REQUEST)));
        List<String> notes = listener.notes;
        assertEquals("start 3 5 2", notes.get(0));
        assertTrue(notes.get(1).startsWith("3 5 Members "), notes.toString());
        assertTrue(
                notes.get(2).startsWith("3 5 Arrived ") && !notes.get(2).endsWith(" 0"),
                notes.toString());
        assertEquals(3, notes.size());
    }

    @Test
    void emptyBatchesAreEchoedAndTheEndExitsWithZero() {
        assertEquals(0, run(batch(1, 5), batch(2, 6)));
        assertEquals("{\"round\":1,\"output\":[]}\n{\"round\":2,\"output\":[]}\n", out);
        assertEquals("", err);
    }

    @Test
    void aRequestGoesToThePrefillServerAndThenToTheDecodeServer() {
        String prefilled =
                """
                {"op":"closed-attempt","router-id":3,"msg-id":9,"hop":0,"worker":"r",\
                "reason":"read","took-us":40}\
                """;
        assertEquals(
                0,
                run(
                        batch(1, 10, START, LIST, MEMBERS),
                        batch(2, 20, REQUEST),
                        batch(3, 60, prefilled)));
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
    void aStoppedRouterIsForgottenAndMayStartAgain() {
        String start = batch(1, 10, START, LIST, MEMBERS);
        assertEquals(0, run(start, batch(2, 20, STOP, START, MEMBERS)));
        assertEquals(1, run(start, batch(2, 20, STOP, REQUEST)));
        assertTrue(err.contains("not started"), err);
    }

    private void assertRejected(String line, String... words) {
        assertEquals(1, run(batch(1, 10, START, LIST, MEMBERS), line), line);
        assertEquals(1, out.split("\n").length, "expected no partial reply: " + out);
        assertEquals(1, err.split("\n").length, "one line: " + err);
        for (String word : words) {
            assertTrue(err.contains(word), word + " in " + err);
        }
    }

    private void assertRejectedMessage(String message, String... words) {
        assertRejected(batch(2, 20, message), words);
    }

    @Test
    void aMalformedBatchIsReportedInOneLineWithItsLineNumber() {
        assertRejected("{\"time-us\":1,", "line 2", "malformed JSON");
        assertRejected("[]", "line 2", "malformed JSON");
        assertRejected("{\"time-us\":20,\"msgs\":[]}", "line 2", "round");
    }

    @Test
    void anInvalidMessageIsReportedInOneLineWithItsPlace() {
        assertRejectedMessage(
                "{\"op\":\"zap\",\"router-id\":3}", "round 2", "message 0", "op", "zap");
        assertRejected(
                batch(
                        2,
                        20,
                        "{\"op\":\"bell\",\"router-id\":3,\"label\":1}",
                        REQUEST.replace(":3,", ":4,")),
                "round 2",
                "message 1",
                "router-id",
                "not started");
        assertRejectedMessage(
                START.replace("read_like", "maybe"), "boot-info", "semantics", "maybe");
        assertRejected(batch(2, 5, REQUEST), "round 2", "message 0", "clock");
    }

    @Test
    void aFieldThatIsMissingMistypedOrOutOfRangeIsNamed() {
        assertRejectedMessage(
                REQUEST.replace("\"budget-us\":2000000,", ""), "round 2", "message 0", "budget-us");
        assertRejectedMessage(
                REQUEST.replace("\"class\":0", "\"class\":1"), "message 0", "class", "range");
        assertRejectedMessage(REQUEST.replace(":9,", ":4503599627370496,"), "msg-id", "range");
        assertRejectedMessage(
                REQUEST.replace("\"n-prompt\":1800", "\"n-prompt\":-1"), "n-prompt", "range");
        assertRejectedMessage(
                REQUEST.replace("\"n-prompt\":1800", "\"n-prompt\":\"x\""), "n-prompt", "number");
        assertRejectedMessage(
                MEMBERS.replace("\"buffer\":0", "\"buffer\":7"), "buffer", "never defined");
        assertRejectedMessage(LIST.replace("\"buffer\":0", "\"buffer\":16"), "buffer", "range");
    }
}
