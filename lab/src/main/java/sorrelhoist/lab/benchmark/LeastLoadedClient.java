package sorrelhoist.lab.benchmark;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.engine.EngineApi;
import sorrelhoist.protocol.engine.PrefillReply;
import sorrelhoist.protocol.engine.PrefillRequest;
import sorrelhoist.protocol.grpc.GrpcChannel;

/**
 * What an edge is measured against: a client that sends each prefill, and then each decode, to the
 * engine with the fewest of its own requests in flight. It retries nothing, rejects nothing, and
 * sees all of the load, as it is the only one.
 */
final class LeastLoadedClient {
    private static final String NAME = "plain";

    private static final class Engine {
        private final String address;
        private final GrpcChannel channel;
        private int inFlight;

        Engine(EventLoop loop, String address) {
            this.address = address;
            this.channel = new GrpcChannel(loop, address, GrpcChannel.Options.BACKGROUND);
        }
    }

    private final EventLoop loop;
    private final List<Engine> prefillEngines = new ArrayList<>();
    private final List<Engine> decodeEngines = new ArrayList<>();
    private long requests;

    LeastLoadedClient(EventLoop loop, List<String> prefillAddresses, List<String> decodeAddresses) {
        this.loop = loop;
        prefillAddresses.forEach(address -> prefillEngines.add(new Engine(loop, address)));
        decodeAddresses.forEach(address -> decodeEngines.add(new Engine(loop, address)));
    }

    private static Engine leastLoaded(List<Engine> engines) {
        return engines.stream()
                .min(Comparator.comparingInt(engine -> engine.inFlight))
                .orElseThrow();
    }

    /** Sends a request. {@return microseconds to the first token, once the answer is complete} */
    CompletableFuture<Long> send(String clientId, String prompt, int maxTokens) {
        CompletableFuture<Long> result = new CompletableFuture<>();
        long start = System.nanoTime();
        loop.execute(() -> prefill(clientId, prompt, maxTokens, start, result));
        return result;
    }

    private void prefill(
            String clientId,
            String prompt,
            int maxTokens,
            long start,
            CompletableFuture<Long> result) {
        requests++;
        String requestId = NAME + "." + requests;
        int tokens = EngineCall.tokens(prompt);
        Engine engine = leastLoaded(prefillEngines);
        engine.inFlight++;
        CompletableFuture<Long> prefilled = newPrefillResult(engine, result);
        PrefillRequest request =
                new PrefillRequest(requestId, clientId, NAME, 0, prompt, tokens, maxTokens, 0);
        EngineCall.start(
                engine.channel,
                EngineApi.PREFILL,
                request.toByteArray(),
                prefilled,
                message -> {
                    String stateId = PrefillReply.parse(message).stateId();
                    prefilled.complete(0L);
                    DecodeRequest decode =
                            new DecodeRequest(
                                    requestId,
                                    clientId,
                                    NAME,
                                    1,
                                    stateId,
                                    engine.address,
                                    "",
                                    tokens,
                                    maxTokens,
                                    0,
                                    "",
                                    0);
                    decode(decode, start, result);
                });
    }

    private static CompletableFuture<Long> newPrefillResult(
            Engine engine, CompletableFuture<Long> result) {
        CompletableFuture<Long> prefilled = new CompletableFuture<>();
        prefilled.whenComplete(
                (ignored, failure) -> {
                    engine.inFlight--;
                    if (failure != null) {
                        result.completeExceptionally(failure);
                    }
                });
        return prefilled;
    }

    private void decode(DecodeRequest request, long start, CompletableFuture<Long> result) {
        Engine engine = leastLoaded(decodeEngines);
        engine.inFlight++;
        result.whenComplete((firstTokenMicros, failure) -> engine.inFlight--);
        EngineCall.start(
                engine.channel,
                EngineApi.DECODE,
                request.toByteArray(),
                result,
                new EngineCall.FirstTokenTimer(start, result));
    }
}
