package sorrelhoist.edge;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.inference.InferResponse;

/**
 * A ModelStreamInfer call: sends a message per token, and a final message with a marker parameter.
 */
final class StreamingInferenceCall extends InferenceCall {
    /** Number of unsent bytes of a call above which its engine gets no more flow-control credit. */
    private static final int HIGH_WATER_MARK_BYTES = 16 << 10;

    private final Queue<Runnable> withheldCredit = new ArrayDeque<>();

    StreamingInferenceCall(
            ServerCall call, RequestParser parser, RouterEventLoop router, Tracing tracing) {
        super(call, parser, router, tracing);
    }

    @Override
    void sendText(String text, Runnable onConsumed) {
        call.send(InferResponse.textChunk(model, requestId(), text).toStreamResponseBytes());
        if (call.pendingBytes() <= HIGH_WATER_MARK_BYTES) {
            onConsumed.run();
            return;
        }
        // The client reads slowly: withholding the engine's credit bounds the bytes buffered here.
        if (withheldCredit.isEmpty()) {
            router.clientBackpressureChanged(this, true);
        }
        withheldCredit.add(onConsumed);
    }

    @Override
    public void onReady() {
        if (!withheldCredit.isEmpty()) {
            router.clientBackpressureChanged(this, false);
        }
        while (!withheldCredit.isEmpty()) {
            withheldCredit.poll().run();
        }
    }

    @Override
    void sendEnd(int tokens) {
        call.send(
                new InferResponse(model, requestId(), finalParameters(tokens), List.of())
                        .toStreamResponseBytes());
    }
}
