package sorrelhoist.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import sorrelhoist.lab.load.InferenceClient;
import sorrelhoist.protocol.grpc.StatusCode;

/**
 * Tests the complete path of a request, from a client through an edge with a planner to prefill and
 * decode engines and back, and failures along the path.
 */
class PathTest {
    private LocalFleet fleet;

    @AfterEach
    void close() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    void tokensStreamBackInOrder() throws Exception {
        fleet = new LocalFleet(1, 1, 1);
        List<String> pieces = new ArrayList<>();
        InferenceClient.Result r =
                fleet.client(0)
                        .send(InferenceProbe.ask("one", 20, 3_000_000), (i, t) -> pieces.add(t))
                        .get(5, TimeUnit.SECONDS);
        assertTrue(r.served(), r.toString());
        assertEquals(pieces.size(), r.tokens());
        for (int i = 0; i < pieces.size(); i++) {
            assertTrue(pieces.get(i).matches("[a-z]+" + i + " "), pieces.get(i));
        }
        fleet.awaitIdle(0);
    }

    @Test
    void anEngineThatDiesAfterTheFirstTokenLosesNoToken() throws Exception {
        fleet = new LocalFleet(2, 2, 1);
        InferenceClient client = fleet.client(0);
        boolean[] killed = {false};
        var asked =
                client.send(
                        InferenceProbe.ask("long", 400, 10_000_000),
                        (i, t) -> {
                            if (i == 5) {
                                killed[0] = true;
                            }
                        });
        LocalFleet.await("tokens", () -> killed[0]);
        // Kills w1; if it serves the stream, w2 continues it.
        fleet.engines.get("w1").kill();
        InferenceClient.Result r = asked.get(15, TimeUnit.SECONDS);
        assertTrue(r.served(), r.toString());
        String[] words = r.text().split(" ");
        for (int i = 0; i < words.length; i++) {
            assertTrue(words[i].endsWith("" + i), words[i] + " at " + i);
        }
        fleet.awaitIdle(0);
    }

    @Test
    void allEnginesFailingMeansOneAnswerInTime() throws Exception {
        fleet = new LocalFleet(1, 2, 1);
        fleet.sendFaultCommand("w1", "errors 1 20000");
        fleet.sendFaultCommand("w2", "errors 1 20000");
        InferenceClient.Result r =
                fleet.client(0)
                        .send(InferenceProbe.ask("x", 20, 2_000_000), (i, t) -> {})
                        .get(5, TimeUnit.SECONDS);
        assertTrue(r.rejected(), r.toString());
        assertTrue(r.retryAfterMillis() > 0);
        assertTrue(r.durationMicros() < 2_000_000);
        fleet.awaitIdle(0);
    }

    @Test
    void aHangingWriterMeansOneAnswerInTime() throws Exception {
        fleet = new LocalFleet(1, 1, 1);
        fleet.sendFaultCommand("w1", "hang 20000");
        InferenceClient.Result r =
                fleet.client(0)
                        .send(InferenceProbe.ask("x", 20, 1_500_000), (i, t) -> {})
                        .get(5, TimeUnit.SECONDS);
        assertTrue(
                r.status().code() == StatusCode.RESOURCE_EXHAUSTED
                        || r.status().code() == StatusCode.DEADLINE_EXCEEDED
                        || r.status().code() == StatusCode.UNAVAILABLE,
                r.toString());
        assertTrue(r.durationMicros() < 1_500_000, r.toString());
        fleet.awaitIdle(0);
    }

    @Test
    void aClientThatLeavesLeavesNothingBehind() throws Exception {
        fleet = new LocalFleet(1, 1, 1);
        InferenceClient client = fleet.client(0);
        for (int i = 0; i < 30; i++) {
            var asked = client.send(InferenceProbe.ask("gone-" + i, 300, 5_000_000), (n, t) -> {});
            int pause = i;
            fleet.loops.next().schedule(() -> asked.cancel(false), pause, TimeUnit.MILLISECONDS);
        }
        LocalFleet.await("requests to be gone", () -> fleet.edges.get(0).openRequests() == 0);
        fleet.awaitIdle(0);
        assertTrue(
                client.send(InferenceProbe.ask("after", 5, 3_000_000), (n, t) -> {})
                        .get(5, TimeUnit.SECONDS)
                        .served());
    }

    @Test
    void anEdgeServesWhileItsPlannerAndRegistryAreAway() throws Exception {
        fleet = new LocalFleet(1, 1, 1);
        fleet.planner.stop();
        for (int i = 0; i < 5; i++) {
            assertTrue(
                    fleet.client(0)
                            .send(InferenceProbe.ask("p" + i, 5, 3_000_000), (n, t) -> {})
                            .get(5, TimeUnit.SECONDS)
                            .served());
        }
        fleet.awaitIdle(0);
    }
}
