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
 * What an edge is measured against: a client that sends each read, and then each write, to the
 * engine with the fewest of its own requests out. It repeats nothing, refuses nothing, and sees all
 * of the load, as it is the only one.
 */
final class PlainClient {
    private static final int BYTES_PER_TOKEN = 4;

    private static final class Engine {
        final String address;
        final GrpcChannel channel;
        int out;

        Engine(EventLoop loop, String address) {
            this.address = address;
            this.channel = new GrpcChannel(loop, address, GrpcChannel.Options.BACKGROUND);
        }
    }

    private final EventLoop loop;
    private final List<Engine> readers = new ArrayList<>();
    private final List<Engine> writers = new ArrayList<>();
    private long names;

    PlainClient(EventLoop loop, List<String> readers, List<String> writers) {
        this.loop = loop;
        readers.forEach(a -> this.readers.add(new Engine(loop, a)));
        writers.forEach(a -> this.writers.add(new Engine(loop, a)));
    }

    private static Engine least(List<Engine> of) {
        return of.stream().min(Comparator.comparingInt(e -> e.out)).orElseThrow();
    }

    /** {@return microseconds until the first token, when the answer is whole} */
    CompletableFuture<Long> ask(String id, String prompt, int maxTokens) {
        CompletableFuture<Long> result = new CompletableFuture<>();
        long start = System.nanoTime();
        loop.execute(
                () -> {
                    String name = "plain." + ++names;
                    int tokens = (prompt.length() + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
                    Engine reader = least(readers);
                    reader.out++;
                    CompletableFuture<Long> read = new CompletableFuture<>();
                    read.whenComplete(
                            (r, e) -> {
                                reader.out--;
                                if (e != null) {
                                    result.completeExceptionally(e);
                                }
                            });
                    DirectClient.start(
                            reader.channel,
                            EngineApi.PREFILL,
                            new PrefillRequest(name, id, "plain", 0, prompt, tokens, maxTokens, 0)
                                    .toByteArray(),
                            read,
                            m -> {
                                PrefillReply reply = PrefillReply.parse(m);
                                read.complete(0L);
                                write(
                                        name,
                                        id,
                                        reply.stateId(),
                                        reader.address,
                                        tokens,
                                        maxTokens,
                                        start,
                                        result);
                            });
                });
        return result;
    }

    private void write(
            String name,
            String id,
            String state,
            String reader,
            int tokens,
            int maxTokens,
            long start,
            CompletableFuture<Long> result) {
        Engine writer = least(writers);
        writer.out++;
        result.whenComplete((r, e) -> writer.out--);
        DirectClient.start(
                writer.channel,
                EngineApi.DECODE,
                new DecodeRequest(
                                name, id, "plain", 1, state, reader, "", tokens, maxTokens, 0, "",
                                0)
                        .toByteArray(),
                result,
                new DirectClient.Tokens(start, result));
    }
}
