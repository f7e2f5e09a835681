package sorrelhoist.lab.benchmark;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import sorrelhoist.protocol.engine.DecodeEvent;
import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.engine.EngineApi;
import sorrelhoist.protocol.engine.PrefillReply;
import sorrelhoist.protocol.engine.PrefillRequest;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.protobuf.ProtoException;

/** Asks a reader and a writer without any edge: what a request costs by itself. */
final class DirectClient {
    private static final int BYTES_PER_TOKEN = 4;
    private final GrpcChannel reader;
    private final GrpcChannel writer;
    private final String readerAddress;
    private long names;

    DirectClient(EventLoop loop, String reader, String writer) {
        this.reader = new GrpcChannel(loop, reader, GrpcChannel.Options.BACKGROUND);
        this.writer = new GrpcChannel(loop, writer, GrpcChannel.Options.BACKGROUND);
        this.readerAddress = reader;
    }

    /** {@return microseconds until the first token, when the answer is whole} */
    CompletableFuture<Long> ask(String id, String prompt, int maxTokens) {
        CompletableFuture<Long> result = new CompletableFuture<>();
        reader.loop()
                .execute(
                        () -> {
                            long start = System.nanoTime();
                            String name = "direct." + ++names;
                            int tokens = (prompt.length() + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
                            start(
                                    reader,
                                    EngineApi.PREFILL,
                                    new PrefillRequest(
                                                    name, id, "direct", 0, prompt, tokens,
                                                    maxTokens, 0)
                                            .toByteArray(),
                                    result,
                                    m -> {
                                        PrefillReply reply = PrefillReply.parse(m);
                                        start(
                                                writer,
                                                EngineApi.DECODE,
                                                new DecodeRequest(
                                                                name,
                                                                id,
                                                                "direct",
                                                                1,
                                                                reply.stateId(),
                                                                readerAddress,
                                                                "",
                                                                tokens,
                                                                maxTokens,
                                                                0,
                                                                "",
                                                                0)
                                                        .toByteArray(),
                                                result,
                                                new Tokens(start, result));
                                    });
                        });
        return result;
    }

    interface Take {
        void take(byte[] message) throws ProtoException;
    }

    static final class Tokens implements Take {
        private final long start;
        private final CompletableFuture<Long> result;
        private long first;

        Tokens(long start, CompletableFuture<Long> result) {
            this.start = start;
            this.result = result;
        }

        @Override
        public void take(byte[] message) throws ProtoException {
            DecodeEvent e = DecodeEvent.parse(message);
            if (e.token() != null && first == 0) {
                first = (System.nanoTime() - start) / 1000;
            } else if (e.finish() != null) {
                result.complete(first);
            }
        }
    }

    static void start(
            GrpcChannel channel,
            String path,
            byte[] request,
            CompletableFuture<Long> result,
            Take take) {
        ClientCall call =
                channel.newCall(
                        path,
                        null,
                        new ClientCall.Listener() {
                            @Override
                            public void onMessage(ClientCall c, byte[] message, int wireBytes) {
                                c.consumeBytes(wireBytes);
                                try {
                                    take.take(message);
                                } catch (ProtoException e) {
                                    result.completeExceptionally(e);
                                }
                            }

                            @Override
                            public void onClose(
                                    ClientCall c,
                                    Status status,
                                    Headers trailers,
                                    ClientCall.Termination end) {
                                if (!status.isOk()) {
                                    result.completeExceptionally(
                                            new IllegalStateException(status.toString()));
                                }
                            }
                        });
        call.sendLast(request);
        channel.start(call);
    }
}
