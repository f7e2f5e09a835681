package sorrelhoist.lab.benchmark;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.engine.EngineApi;
import sorrelhoist.protocol.engine.PrefillReply;
import sorrelhoist.protocol.engine.PrefillRequest;
import sorrelhoist.protocol.grpc.GrpcChannel;

/** A client that sends to one prefill engine and one decode engine: the path without an edge. */
final class DirectClient {
    private static final String NAME = "direct";
    private final GrpcChannel prefillEngine;
    private final GrpcChannel decodeEngine;
    private final String prefillAddress;
    private long requests;

    DirectClient(EventLoop loop, String prefillAddress, String decodeAddress) {
        this.prefillEngine = new GrpcChannel(loop, prefillAddress, GrpcChannel.Options.BACKGROUND);
        this.decodeEngine = new GrpcChannel(loop, decodeAddress, GrpcChannel.Options.BACKGROUND);
        this.prefillAddress = prefillAddress;
    }

    /** Sends a request. {@return microseconds to the first token, once the answer is complete} */
    CompletableFuture<Long> send(String clientId, String prompt, int maxTokens) {
        CompletableFuture<Long> result = new CompletableFuture<>();
        prefillEngine.loop().execute(() -> prefill(clientId, prompt, maxTokens, result));
        return result;
    }

    private void prefill(
            String clientId, String prompt, int maxTokens, CompletableFuture<Long> result) {
        long start = System.nanoTime();
        requests++;
        String requestId = NAME + "." + requests;
        int tokens = EngineCall.tokens(prompt);
        PrefillRequest request =
                new PrefillRequest(requestId, clientId, NAME, 0, prompt, tokens, maxTokens, 0);
        EngineCall.start(
                prefillEngine,
                EngineApi.PREFILL,
                request.toByteArray(),
                result,
                message -> {
                    String stateId = PrefillReply.parse(message).stateId();
                    DecodeRequest decode =
                            new DecodeRequest(
                                    requestId,
                                    clientId,
                                    NAME,
                                    1,
                                    stateId,
                                    prefillAddress,
                                    "",
                                    tokens,
                                    maxTokens,
                                    0,
                                    "",
                                    0);
                    decode(decode, start, result);
                });
    }

    private void decode(DecodeRequest request, long start, CompletableFuture<Long> result) {
        EngineCall.start(
                decodeEngine,
                EngineApi.DECODE,
                request.toByteArray(),
                result,
                new EngineCall.FirstTokenTimer(start, result));
    }
}
