package sorrelhoist.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.testing.exporter.InMemorySpanExporter;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import sorrelhoist.lab.load.InferenceClient;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http2.Http2Limits;
import sorrelhoist.protocol.inference.InferRequest;
import sorrelhoist.protocol.inference.ModelMessages;
import sorrelhoist.protocol.inference.Parameter;
import sorrelhoist.protocol.inference.Tensor;

/**
 * Tests streams whose clients read slowly or not at all, the graceful shutdown and the restart of
 * an edge, state transfers, records and spans.
 */
class StreamsTest {
    private LocalFleet fleet;

    @AfterEach
    void close() {
        if (fleet != null) {
            fleet.close();
        }
    }

    /** A client that reads nothing until {@link #take} is called. */
    private static final class Idle implements ClientCall.Listener {
        final AtomicInteger messages = new AtomicInteger();
        final CompletableFuture<Status> closed = new CompletableFuture<>();
        volatile boolean takes;
        private int owed;
        ClientCall call;

        @Override
        public void onMessage(ClientCall c, byte[] message, int wireBytes) {
            messages.incrementAndGet();
            if (takes) {
                c.consumeBytes(wireBytes);
            } else {
                owed += wireBytes;
            }
        }

        void take() {
            takes = true;
            call.consumeBytes(owed);
            owed = 0;
        }

        @Override
        public void onClose(
                ClientCall c, Status status, Headers trailers, ClientCall.Termination end) {
            closed.complete(status);
        }
    }

    private Idle idle(GrpcChannel channel, int tokens, Headers metadata) {
        Idle idle = new Idle();
        idle.call = channel.newCall(ModelMessages.SERVICE + "ModelStreamInfer", metadata, idle);
        idle.call.sendLast(
                new InferRequest(
                                LocalFleet.MODEL,
                                "",
                                "slow",
                                java.util.Map.of("max_tokens", new Parameter((long) tokens)),
                                List.of(Tensor.text("text_input", "tell me all of it")),
                                List.of())
                        .toByteArray());
        channel.loop().execute(() -> channel.start(idle.call));
        return idle;
    }

    private GrpcChannel narrow() {
        return new GrpcChannel(
                fleet.loops.next(),
                fleet.address(0),
                new GrpcChannel.Options(
                        1, 1_000_000, 0, 1 << 20, Http2Limits.CLIENT.withStreamWindow(2000)));
    }

    @Test
    void aClientThatNeverReadsIsEndedInBoundedTimeAndSlowsNobody() throws Exception {
        fleet = new LocalFleet(1, 1, 1);
        Idle idle = idle(narrow(), 4000, null);
        for (int i = 0; i < 5; i++) {
            assertTrue(InferenceProbe.served(fleet, 0));
        }
        Status status = idle.closed.get(10, TimeUnit.SECONDS);
        assertFalse(status.isOk());
        assertTrue(idle.messages.get() < 40, "messages received: " + idle.messages.get());
        fleet.awaitIdle(0);
    }

    @Test
    void aClientThatPausesGetsEveryTokenAfterwards() throws Exception {
        fleet = new LocalFleet(1, 1, 1);
        GrpcChannel channel = narrow();
        Idle idle = idle(channel, 2000, null);
        LocalFleet.await("the window to fill", () -> idle.messages.get() >= 20);
        channel.loop().schedule(idle::take, 800, TimeUnit.MILLISECONDS);
        assertTrue(idle.closed.get(15, TimeUnit.SECONDS).isOk());
        assertTrue(idle.messages.get() > 500);
        fleet.awaitIdle(0);
    }

    @Test
    void anEdgeThatIsStoppedFinishesWhatRunsAndRefusesTheRest() throws Exception {
        fleet = new LocalFleet(1, 1, 1);
        InferenceClient client = fleet.client(0);
        CompletableFuture<Void> begun = new CompletableFuture<>();
        var running =
                client.send(
                        InferenceProbe.ask("runs", 300, 10_000_000),
                        (i, t) -> begun.complete(null));
        begun.get(5, TimeUnit.SECONDS);
        Thread drain = new Thread(() -> fleet.edges.get(0).drain(() -> false));
        drain.start();
        assertTrue(running.get(10, TimeUnit.SECONDS).served());
        drain.join(10_000);
        assertFalse(drain.isAlive());
        InferenceClient.Result after =
                client.send(InferenceProbe.ask("late", 5, 1_000_000), (i, t) -> {})
                        .get(5, TimeUnit.SECONDS);
        assertFalse(after.served());
    }

    @Test
    void aSecondSignalEndsWhatRunsWithAnAnswer() throws Exception {
        fleet = new LocalFleet(1, 1, 1);
        CompletableFuture<Void> begun = new CompletableFuture<>();
        var running =
                fleet.client(0)
                        .send(
                                InferenceProbe.ask("runs", 4000, 10_000_000),
                                (i, t) -> begun.complete(null));
        begun.get(5, TimeUnit.SECONDS);
        fleet.edges.get(0).drain(() -> true);
        InferenceClient.Result r = running.get(5, TimeUnit.SECONDS);
        assertEquals(StatusCode.UNAVAILABLE, r.status().code());
        assertEquals("the edge stops", r.status().message());
    }

    @Test
    void anEdgeRestoresItsStateAfterAKill(
            @org.junit.jupiter.api.io.TempDir java.nio.file.Path folder) throws Exception {
        fleet = new LocalFleet(2, 1, 0);
        fleet.past = folder.toString();
        fleet.edges.add(new sorrelhoist.edge.Edge(fleet.edgeSettings("edge-1", true)).start());
        LocalFleet.await("the edge", () -> InferenceProbe.served(fleet, 0));
        sorrelhoist.lab.load.ScriptedRequest ask =
                new sorrelhoist.lab.load.ScriptedRequest(
                        "k",
                        null,
                        "session-7",
                        "guide",
                        50,
                        "all that stands in the guide, and then some more. ".repeat(10),
                        4,
                        3_000_000);
        assertTrue(fleet.client(0).send(ask, (i, t) -> {}).get(5, TimeUnit.SECONDS).served());
        var before =
                fleet.edges.get(0).knowledge().join().keys().stream()
                        .filter(k -> k.name().equals("session-7"))
                        .findFirst()
                        .orElseThrow();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!remembers(folder, "session-7")) {
            assertTrue(System.nanoTime() < end, "the state was not written in time");
            Thread.sleep(50);
        }
        // The first edge is not stopped: the new one starts from the state on disk, as after a
        // kill.
        fleet.edges.add(new sorrelhoist.edge.Edge(fleet.edgeSettings("edge-1", true)).start());
        LocalFleet.await(
                "the new edge to load the state",
                () ->
                        fleet.edges.get(1).knowledge().join().keys().stream()
                                .anyMatch(k -> k.name().equals("session-7")));
        var after =
                fleet.edges.get(1).knowledge().join().keys().stream()
                        .filter(k -> k.name().equals("session-7"))
                        .findFirst()
                        .orElseThrow();
        assertEquals(before.holders().get(0).server(), after.holders().get(0).server());
        assertEquals(before.holders().get(0).tokens(), after.holders().get(0).tokens());
    }

    private static boolean remembers(java.nio.file.Path folder, String key)
            throws java.io.IOException {
        java.nio.file.Path log = folder.resolve("past.log");
        return java.nio.file.Files.exists(log)
                && sorrelhoist.core.statetransfer.SnapshotPolicy.selectRestorable(
                                Long.MAX_VALUE / 2,
                                sorrelhoist.core.statetransfer.SnapshotLog.read(
                                                java.nio.file.Files.readAllBytes(log))
                                        .frames()
                                        .stream()
                                        .map(
                                                f ->
                                                        new sorrelhoist.core.statetransfer
                                                                .SnapshotLog.Frame(
                                                                Long.MAX_VALUE / 2, f.payload()))
                                        .toList())
                        .stream()
                        .anyMatch(
                                m ->
                                        m.knowledge().keys().stream()
                                                .anyMatch(k -> k.name().equals(key)));
    }

    @Test
    void aNewEdgeTakesStateOnlyFromEdgesWithItsKey() throws Exception {
        fleet = new LocalFleet(2, 1, 0);
        fleet.keys =
                List.of(new sorrelhoist.edge.EdgeSettings.KeySettings("k1", "a secret of sixteen"));
        fleet.edges.add(new sorrelhoist.edge.Edge(fleet.edgeSettings("edge-1", true)).start());
        LocalFleet.await("the edge", () -> InferenceProbe.served(fleet, 0));
        for (int i = 0; i < 40; i++) {
            assertTrue(
                    fleet.client(0)
                            .send(
                                    new sorrelhoist.lab.load.ScriptedRequest(
                                            "k" + i,
                                            null,
                                            "session-" + i,
                                            null,
                                            0,
                                            "what is known of dock " + i + ", if anything at all? ",
                                            2,
                                            3_000_000),
                                    (n, t) -> {})
                            .get(5, TimeUnit.SECONDS)
                            .served());
        }
        fleet.edges.add(new sorrelhoist.edge.Edge(fleet.edgeSettings("edge-2", true)).start());
        LocalFleet.await("the new edge to be taught", () -> sessions(1) == 40);
        fleet.keys =
                List.of(
                        new sorrelhoist.edge.EdgeSettings.KeySettings(
                                "k1", "another secret, also long"));
        fleet.edges.add(new sorrelhoist.edge.Edge(fleet.edgeSettings("edge-3", true)).start());
        LocalFleet.await("the stranger to serve", () -> InferenceProbe.served(fleet, 2));
        assertEquals(0, sessions(2));
    }

    private long sessions(int edge) {
        return fleet.edges.get(edge).knowledge().join().keys().stream()
                .filter(k -> k.name().startsWith("session-"))
                .count();
    }

    @Test
    void decisionsAreRecordedAndReplayed(
            @org.junit.jupiter.api.io.TempDir java.nio.file.Path folder) throws Exception {
        fleet = new LocalFleet(2, 2, 0);
        fleet.record = folder.toString();
        fleet.edges.add(new sorrelhoist.edge.Edge(fleet.edgeSettings("edge-1", true)).start());
        LocalFleet.await("the edge", () -> InferenceProbe.served(fleet, 0));
        fleet.sendFaultCommand("w1", "errors 1 60000");
        fleet.sendFaultCommand("w2", "errors 1 60000");
        InferenceClient.Result refused =
                fleet.client(0)
                        .send(InferenceProbe.ask("mine", 20, 2_000_000), (i, t) -> {})
                        .get(5, TimeUnit.SECONDS);
        assertTrue(refused.rejected(), refused.toString());
        assertTrue(
                refused.status()
                        .message()
                        .matches("refused, and a repeat is harmless: .*; come back in [0-9]+ ms"),
                refused.status().message());
        fleet.awaitIdle(0);
        fleet.edges.get(0).stop();
        List<byte[]> files = new java.util.ArrayList<>();
        LocalFleet.await(
                "the record's end",
                () -> java.util.Objects.requireNonNull(folder.toFile().list()).length > 0);
        try (var list = java.nio.file.Files.list(folder)) {
            for (java.nio.file.Path f : list.toList()) {
                files.add(java.nio.file.Files.readAllBytes(f));
            }
        }
        var tape = sorrelhoist.core.record.Recording.of(files);
        assertTrue(tape.isComplete() && tape.faults().isEmpty());
        var again = sorrelhoist.core.record.Replay.run(tape);
        assertTrue(
                again.isIdentical(),
                again.firstDifference() == null
                        ? again.fault()
                        : again.firstDifference().describe());
        List<String> story = new sorrelhoist.core.record.RequestTimeline(tape).describe("mine");
        assertTrue(story.get(0).contains("client id mine"), story.toString());
        assertTrue(story.stream().anyMatch(l -> l.contains("ended: ERROR")), story.toString());
        assertTrue(story.get(story.size() - 1).contains("refused"), story.toString());
    }

    @Test
    void spansOfARequestAndItsAttemptsStandUnderTheClientsTrace() throws Exception {
        InMemorySpanExporter spans = InMemorySpanExporter.create();
        OpenTelemetrySdk telemetry =
                OpenTelemetrySdk.builder()
                        .setTracerProvider(
                                SdkTracerProvider.builder()
                                        .addSpanProcessor(SimpleSpanProcessor.create(spans))
                                        .build())
                        .build();
        fleet = new LocalFleet(1, 1, 1, true, null, telemetry);
        spans.reset();
        String trace = "0af7651916cd43dd8448eb211c80319c";
        Idle idle =
                idle(
                        narrow(),
                        5,
                        new Headers()
                                .add("traceparent", "00-" + trace + "-b7ad6b7169203331-01")
                                .add("grpc-previous-rpc-attempts", "2"));
        assertTrue(idle.closed.get(10, TimeUnit.SECONDS).isOk());
        LocalFleet.await("the spans", () -> spans.getFinishedSpanItems().size() >= 3);
        List<SpanData> all = spans.getFinishedSpanItems();
        SpanData request =
                all.stream().filter(s -> s.getName().equals("infer")).findFirst().orElseThrow();
        assertEquals("b7ad6b7169203331", request.getParentSpanId());
        assertEquals(3, all.stream().filter(s -> s.getTraceId().equals(trace)).count());
        for (String attempt : new String[] {"prefill", "decode"}) {
            SpanData s =
                    all.stream().filter(a -> a.getName().equals(attempt)).findFirst().orElseThrow();
            assertEquals(request.getSpanId(), s.getParentSpanId());
            assertTrue(
                    s.getAttributes().asMap().toString().contains("sorrelhoist.outcome=DONE"),
                    s.toString());
        }
        assertTrue(request.getAttributes().asMap().toString().contains("previous_attempts=2"));
        telemetry.close();
    }
}
