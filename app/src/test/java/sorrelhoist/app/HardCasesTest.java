package sorrelhoist.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import sorrelhoist.edge.EngineServingState;
import sorrelhoist.lab.load.InferenceClient;
import sorrelhoist.planner.Planner;
import sorrelhoist.protocol.net.LoopbackTransport;

/** Tests faults that occur together or under load, and malformed input. */
class HardCasesTest {
    @org.junit.jupiter.api.io.TempDir java.nio.file.Path traces;
    private LocalFleet fleet;

    @AfterEach
    void close() {
        if (fleet != null) {
            fleet.close();
        }
    }

    private List<CompletableFuture<InferenceClient.Result>> burst(
            int edge, int count, String name) {
        InferenceClient client = fleet.client(edge);
        List<CompletableFuture<InferenceClient.Result>> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(client.send(InferenceProbe.ask(name + i, 30, 4_000_000), (n, t) -> {}));
        }
        return all;
    }

    private static void oneAnswerEach(List<CompletableFuture<InferenceClient.Result>> all)
            throws Exception {
        for (var f : all) {
            InferenceClient.Result r = f.get(6, TimeUnit.SECONDS);
            assertTrue(r.durationMicros() < 4_000_000, r.toString());
            assertTrue(r.served() || r.rejected(), r.toString());
        }
    }

    @Test
    void aPlannerThatRestartsInTheMiddleOfABurstLosesNothing() throws Exception {
        fleet = new LocalFleet(2, 2, 1);
        var first = burst(0, 50, "a");
        fleet.planner.stop();
        var second = burst(0, 50, "b");
        Planner again = null;
        for (int i = 0; again == null; i++) {
            try {
                again = new Planner(fleet.plannerSettings(fleet.plannerPort)).start();
            } catch (java.io.IOException e) {
                assertTrue(i < 200, "the planner's port is still in use");
                Thread.sleep(10);
            }
        }
        fleet.planner = again;
        oneAnswerEach(first);
        oneAnswerEach(second);
        oneAnswerEach(burst(0, 20, "c"));
        fleet.awaitIdle(0);
    }

    @Test
    void anEngineThatRestartsUnderItsNameIsUsedAtItsNewPort() throws Exception {
        fleet = new LocalFleet(1, 1, 1);
        fleet.engines.get("w1").kill();
        fleet.engine("w1", "write", "rack1", 0);
        LocalFleet.await("the new process to serve", () -> InferenceProbe.served(fleet, 0));
        fleet.awaitIdle(0);
    }

    @Test
    void bothEdgesStopSendingToADrainingEngine() throws Exception {
        fleet = new LocalFleet(1, 2, 2);
        fleet.sendFaultCommand("w1", "drain");
        LocalFleet.await(
                "both edges to know of the drain",
                () ->
                        fleet.edges.stream()
                                .allMatch(
                                        e ->
                                                e.servingState("w1")
                                                        == EngineServingState.NOT_SERVING));
        oneAnswerEach(burst(0, 20, "x"));
        oneAnswerEach(burst(1, 20, "y"));
        fleet.awaitIdle(0);
        fleet.awaitIdle(1);
    }

    @Test
    void fullWritersRefuseAndNothingStaysHeld() throws Exception {
        fleet = new LocalFleet(1, 0, 0);
        fleet.engine("w1", "write", "rack1", 1);
        fleet.edges.add(new sorrelhoist.edge.Edge(fleet.edgeSettings("edge-1", true)).start());
        LocalFleet.await("the edge", () -> InferenceProbe.served(fleet, 0));
        var all = burst(0, 40, "z");
        int refused = 0;
        for (var f : all) {
            InferenceClient.Result r = f.get(6, TimeUnit.SECONDS);
            assertTrue(r.served() || r.rejected(), r.toString());
            refused += r.rejected() ? 1 : 0;
        }
        assertTrue(refused > 0);
        fleet.awaitIdle(0);
    }

    @Test
    void retriesDuringMassFailuresAreLimitedByABudget() throws Exception {
        fleet = new LocalFleet(2, 1, 1, true, traces, null);
        fleet.sendFaultCommand("r1", "errors 1 60000");
        fleet.sendFaultCommand("r2", "errors 1 60000");
        long before = reads();
        int asked = 200;
        for (var f : burst(0, asked, "s")) {
            assertTrue(f.get(6, TimeUnit.SECONDS).rejected());
        }
        long sends = reads() - before;
        // The retry budget has 25 saved permits, 0.3 for each arrival, and a last fraction of a
        // permit; without a budget each request would be retried five times.
        assertTrue(
                sends <= asked + 25 + 0.3 * asked + 1, sends + " sends for " + asked + " requests");
        fleet.awaitIdle(0);
    }

    private long reads() throws java.io.IOException {
        return sorrelhoist.lab.judge.TraceEvent.readAll(traces).stream()
                .filter(l -> l.name().equals("prefill"))
                .count();
    }

    /** Sends bytes and waits until the other side has closed the connection. */
    private void send(int port, byte[] bytes) throws Exception {
        CompletableFuture<Void> over = new CompletableFuture<>();
        var channel =
                LoopbackTransport.connect(
                                fleet.loops.next(),
                                LoopbackTransport.LOOPBACK + ":" + port,
                                1_000_000,
                                new ChannelInboundHandlerAdapter() {
                                    @Override
                                    public void channelActive(ChannelHandlerContext ctx) {
                                        ctx.writeAndFlush(ctx.alloc().buffer().writeBytes(bytes));
                                    }

                                    @Override
                                    public void channelRead(
                                            ChannelHandlerContext ctx, Object message) {
                                        io.netty.util.ReferenceCountUtil.release(message);
                                    }

                                    @Override
                                    public void channelInactive(ChannelHandlerContext ctx) {
                                        over.complete(null);
                                    }

                                    @Override
                                    public void exceptionCaught(
                                            ChannelHandlerContext ctx, Throwable cause) {
                                        ctx.close();
                                    }
                                })
                        .channel();
        over.get(12, TimeUnit.SECONDS);
        channel.close();
    }

    @Test
    void malformedBytesCostTheirSenderTheConnectionOnEveryListener() throws Exception {
        fleet = new LocalFleet(1, 1, 1);
        byte[] preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        byte[] settings = {0, 0, 0, 4, 0, 0, 0, 0, 0};
        byte[] badFrame = {0, 0, 1, 6, 0, 0, 0, 0, 0, 1};
        byte[] attack = new byte[preface.length + settings.length + badFrame.length];
        System.arraycopy(preface, 0, attack, 0, preface.length);
        System.arraycopy(settings, 0, attack, preface.length, settings.length);
        System.arraycopy(badFrame, 0, attack, preface.length + settings.length, badFrame.length);
        byte[] noise = new byte[500];
        new SplittableRandom(3).nextBytes(noise);
        int[] http2 = {
            fleet.edges.get(0).port(),
            fleet.planner.port(),
            fleet.engines.get("r1").port(),
            fleet.engines.get("w1").port()
        };
        for (int port : http2) {
            send(port, attack);
            send(port, noise);
            send(port, "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        send(fleet.registry.port(), "nonsense\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        send(
                fleet.registry.port(),
                ("POST /eureka/apps/X HTTP/1.1\r\ncontent-length: 5\r\n"
                                + "transfer-encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        assertTrue(InferenceProbe.served(fleet, 0));
        assertEquals(0, fleet.edges.get(0).openRequests());
    }
}
