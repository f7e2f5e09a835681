package sorrelhoist.lab.benchmark;

import java.util.concurrent.CompletableFuture;
import sorrelhoist.protocol.engine.DecodeEvent;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.protobuf.ProtoException;

/** A call of a client to an engine, without a router between them. */
final class EngineCall implements ClientCall.Listener {
    private static final int BYTES_PER_TOKEN = 4;

    /** Takes the messages of a call. */
    interface MessageHandler {
        void handle(byte[] message) throws ProtoException;
    }

    private final MessageHandler handler;
    private final CompletableFuture<Long> result;

    private EngineCall(MessageHandler handler, CompletableFuture<Long> result) {
        this.handler = handler;
        this.result = result;
    }

    /**
     * Starts a call, on the event loop of its channel.
     *
     * @param channel to the engine
     * @param method its path
     * @param request the message
     * @param result completed exceptionally if the call fails
     * @param handler takes the answer's messages
     */
    static void start(
            GrpcChannel channel,
            String method,
            byte[] request,
            CompletableFuture<Long> result,
            MessageHandler handler) {
        ClientCall call = channel.newCall(method, null, new EngineCall(handler, result));
        call.sendLast(request);
        channel.start(call);
    }

    /** {@return about how many tokens a prompt has} */
    static int tokens(String prompt) {
        return (prompt.length() + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    @Override
    public void onMessage(ClientCall call, byte[] message, int wireBytes) {
        call.consumeBytes(wireBytes);
        try {
            handler.handle(message);
        } catch (ProtoException e) {
            result.completeExceptionally(e);
        }
    }

    @Override
    public void onClose(
            ClientCall call, Status status, Headers trailers, ClientCall.Termination termination) {
        if (!status.isOk()) {
            result.completeExceptionally(new IllegalStateException(status.toString()));
        }
    }

    /** Completes the result with the microseconds to the first token, at the end of the stream. */
    static final class FirstTokenTimer implements MessageHandler {
        private final long startNanos;
        private final CompletableFuture<Long> result;
        private long firstTokenMicros;

        FirstTokenTimer(long startNanos, CompletableFuture<Long> result) {
            this.startNanos = startNanos;
            this.result = result;
        }

        @Override
        public void handle(byte[] message) throws ProtoException {
            DecodeEvent event = DecodeEvent.parse(message);
            if (event.token() != null && firstTokenMicros == 0) {
                firstTokenMicros = (System.nanoTime() - startNanos) / 1000;
            } else if (event.finish() != null) {
                result.complete(firstTokenMicros);
            }
        }
    }
}
