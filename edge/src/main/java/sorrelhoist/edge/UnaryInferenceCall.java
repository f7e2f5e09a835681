package sorrelhoist.edge;

import java.util.List;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.inference.InferResponse;
import sorrelhoist.protocol.inference.Tensor;

/** A ModelInfer call: sends the whole response in one message. */
final class UnaryInferenceCall extends InferenceCall {
    private final StringBuilder answer = new StringBuilder();

    UnaryInferenceCall(
            ServerCall call, RequestParser parser, RouterEventLoop router, Tracing tracing) {
        super(call, parser, router, tracing);
    }

    @Override
    void sendText(String text, Runnable onConsumed) {
        answer.append(text);
        onConsumed.run();
    }

    @Override
    void sendEnd(int tokens) {
        Tensor text = Tensor.text(InferResponse.TEXT_OUTPUT, answer.toString());
        call.send(
                new InferResponse(model, requestId(), finalParameters(tokens), List.of(text))
                        .toByteArray());
    }
}
