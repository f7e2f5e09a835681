package sorrelhoist.planner;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sorrelhoist.core.members.RosterBook;
import sorrelhoist.protocol.engine.EngineApi;
import sorrelhoist.protocol.engine.LoadReport;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.plan.ProbeAnswer;

/** Probes engines as edges ask for it, and tells each asker how it ended. */
final class Prober {
    private final EventLoop loop;
    private final RosterBook book;
    private final long timeoutMicros;
    private final int most;
    private final Map<String, GrpcChannel> channels = new HashMap<>();
    private int out;

    Prober(EventLoop loop, RosterBook book, long timeoutMicros, int most) {
        this.loop = loop;
        this.book = book;
        this.timeoutMicros = timeoutMicros;
        this.most = most;
    }

    void probe(String engine, Consumer<ProbeAnswer> answer) {
        String address = book.address(engine);
        if (address == null || out >= most) {
            answer.accept(unanswered(engine, 0));
            return;
        }
        GrpcChannel channel = channels.get(engine);
        if (channel == null || !channel.address().equals(address)) {
            if (channel != null) {
                channel.shut();
            }
            channel = new GrpcChannel(loop, address, GrpcChannel.Options.PLAIN);
            channels.put(engine, channel);
        }
        out++;
        long start = System.nanoTime();
        ClientCall call =
                channel.call(
                        EngineApi.PROBE,
                        null,
                        new ClientCall.Listener() {
                            @Override
                            public void message(ClientCall c, byte[] message, int wireBytes) {
                                c.credit(wireBytes);
                            }

                            @Override
                            public void closed(
                                    ClientCall c,
                                    Status status,
                                    Headers trailers,
                                    ClientCall.End end) {
                                out--;
                                long took = (System.nanoTime() - start) / 1000;
                                LoadReport load = status.isOk() ? EngineApi.load(trailers) : null;
                                answer.accept(
                                        load == null
                                                ? unanswered(engine, took)
                                                : new ProbeAnswer(
                                                        engine,
                                                        true,
                                                        took,
                                                        load.memoryShare(),
                                                        load.waitingTokens(),
                                                        load.held(),
                                                        load.queued()));
                            }
                        });
        call.sendLast(new byte[0]);
        channel.start(call);
        loop.schedule(call::cancel, timeoutMicros, TimeUnit.MICROSECONDS);
    }

    private static ProbeAnswer unanswered(String engine, long took) {
        return new ProbeAnswer(engine, false, took, 0, 0, 0, 0);
    }

    void stop() {
        channels.values().forEach(GrpcChannel::shut);
    }
}
