package sorrelhoist.lab.load;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.GrpcTimeout;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http2.Http2Limits;
import sorrelhoist.protocol.inference.InferResponse;
import sorrelhoist.protocol.inference.ModelMessages;
import sorrelhoist.protocol.protobuf.ProtoException;

/** A client of an edge. Everything runs on one event loop. */
public final class InferenceClient {
    /**
     * How a request ended, as its client saw it.
     *
     * @param status the edge's status, or what stands for it
     * @param end how the call ended
     * @param tokens pieces of text that came
     * @param text the answer
     * @param isFinal whether a response marked as the last came
     * @param declaredTokens tokens that the last response says the answer has; -1 without one
     * @param retryAfterMillis when to come back; 0 for no advice
     * @param firstTokenMicros until the first piece; -1 for none
     * @param durationMicros until the end
     */
    public record Result(
            Status status,
            ClientCall.Termination end,
            int tokens,
            String text,
            boolean isFinal,
            long declaredTokens,
            long retryAfterMillis,
            long firstTokenMicros,
            long durationMicros) {
        /** {@return whether the answer came whole} */
        public boolean served() {
            return status.isOk() && isFinal;
        }

        /** {@return whether it was refused, so that a repeat is harmless} */
        public boolean rejected() {
            return status.code() == StatusCode.RESOURCE_EXHAUSTED;
        }
    }

    private static final int MAX_MESSAGE_BYTES = 4 << 20;
    private static final long GRACE_MICROS = 500_000;
    private final GrpcChannel channel;
    private final String model;

    /**
     * Makes a client.
     *
     * @param loop where it runs
     * @param address the edge's, 127.0.0.1:PORT
     * @param model the model's name
     */
    public InferenceClient(EventLoop loop, String address, String model) {
        this.channel =
                new GrpcChannel(
                        loop,
                        address,
                        new GrpcChannel.Options(
                                8, 1_000_000, 60_000_000, MAX_MESSAGE_BYTES, Http2Limits.CLIENT));
        this.model = model;
    }

    /**
     * Sends a request, and follows the answer.
     *
     * @param request what
     * @param textListener told of each piece of text and its place, on the event loop
     * @return how it ended, and a handle that cancels it when cancelled
     */
    public CompletableFuture<Result> send(
            ScriptedRequest request, BiConsumer<Integer, String> textListener) {
        return send(request, textListener, 0);
    }

    /**
     * Sends a request as a client that reads slowly: it lets more come only after a pause.
     *
     * @param request what
     * @param textListener told of each piece of text and its place, on the event loop
     * @param pauseMillis before it takes each message; 0 for at once
     * @return how it ended, and a handle that cancels it when cancelled
     */
    public CompletableFuture<Result> send(
            ScriptedRequest request, BiConsumer<Integer, String> textListener, long pauseMillis) {
        Answer answer = new Answer(textListener, channel.loop(), pauseMillis);
        Headers metadata =
                request.timeoutMicros() > 0
                        ? new Headers()
                                .add("grpc-timeout", GrpcTimeout.format(request.timeoutMicros()))
                        : null;
        ClientCall call =
                new ClientCall(
                        ModelMessages.SERVICE + "ModelStreamInfer",
                        metadata,
                        MAX_MESSAGE_BYTES,
                        answer);
        call.sendLast(request.toInferRequest(model).toByteArray());
        channel.loop()
                .execute(
                        () -> {
                            channel.start(call);
                            if (request.timeoutMicros() > 0) {
                                // The client's own deadline: an edge that keeps it is never caught
                                // by this.
                                channel.loop()
                                        .schedule(
                                                call::cancel,
                                                request.timeoutMicros() + GRACE_MICROS,
                                                TimeUnit.MICROSECONDS);
                            }
                        });
        answer.result.whenComplete(
                (r, e) -> {
                    if (answer.result.isCancelled()) {
                        channel.loop().execute(call::cancel);
                    }
                });
        return answer.result;
    }

    /** {@return whether the edge says that it is ready} */
    public CompletableFuture<Boolean> ready() {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        ClientCall call =
                new ClientCall(
                        ModelMessages.SERVICE + "ServerReady",
                        null,
                        MAX_MESSAGE_BYTES,
                        new ClientCall.Listener() {
                            private boolean yes;

                            @Override
                            public void onMessage(ClientCall c, byte[] message, int wireBytes) {
                                yes = message.length > 0;
                            }

                            @Override
                            public void onClose(
                                    ClientCall c,
                                    Status status,
                                    Headers trailers,
                                    ClientCall.Termination end) {
                                result.complete(yes && status.isOk());
                            }
                        });
        call.sendLast(new byte[0]);
        channel.loop().execute(() -> channel.start(call));
        return result;
    }

    /** Closes its connections. */
    public void close() {
        channel.loop().execute(channel::shutdown);
    }

    private static final class Answer implements ClientCall.Listener {
        final CompletableFuture<Result> result = new CompletableFuture<>();
        private final BiConsumer<Integer, String> textListener;
        private final EventLoop loop;
        private final long pauseMillis;
        private final StringBuilder text = new StringBuilder();
        private final long start = System.nanoTime();
        private int tokens;
        private long firstTokenMicros = -1;
        private boolean isFinal;
        private long declared = -1;

        Answer(BiConsumer<Integer, String> textListener, EventLoop loop, long pauseMillis) {
            this.textListener = textListener;
            this.loop = loop;
            this.pauseMillis = pauseMillis;
        }

        private long elapsedMicros() {
            return (System.nanoTime() - start) / 1000;
        }

        @Override
        public void onMessage(ClientCall call, byte[] message, int wireBytes) {
            if (pauseMillis > 0) {
                loop.schedule(
                        () -> call.consumeBytes(wireBytes), pauseMillis, TimeUnit.MILLISECONDS);
            } else {
                call.consumeBytes(wireBytes);
            }
            try {
                InferResponse r = InferResponse.parseStreamResponse(message);
                if (r.isFinal()) {
                    isFinal = true;
                    var count = r.parameters().get(InferResponse.OUTPUT_TOKENS);
                    declared = count != null && count.value() instanceof Long n ? n : -1;
                }
                String part = r.text();
                if (!part.isEmpty()) {
                    firstTokenMicros = firstTokenMicros < 0 ? elapsedMicros() : firstTokenMicros;
                    text.append(part);
                    textListener.accept(tokens++, part);
                }
            } catch (ProtoException e) {
                call.cancel();
            }
        }

        @Override
        public void onClose(
                ClientCall call, Status status, Headers trailers, ClientCall.Termination end) {
            long pushback = 0;
            String hint = trailers.get("grpc-retry-pushback-ms");
            if (hint != null && hint.matches("[0-9]{1,9}")) {
                pushback = Long.parseLong(hint);
            }
            result.complete(
                    new Result(
                            status,
                            end,
                            tokens,
                            text.toString(),
                            isFinal,
                            declared,
                            pushback,
                            firstTokenMicros,
                            elapsedMicros()));
        }
    }
}
