package sorrelhoist.planner;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sorrelhoist.core.members.EndpointTracker;
import sorrelhoist.protocol.engine.EngineApi;
import sorrelhoist.protocol.engine.LoadReport;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.plan.ProbeResult;

/** Probes engines as edges ask for it, and tells each asker how it ended. */
final class Prober {
    private final EventLoop loop;
    private final EndpointTracker book;
    private final long timeoutMicros;
    private final int most;
    private final Map<String, GrpcChannel> channels = new HashMap<>();
    private int out;

    Prober(EventLoop loop, EndpointTracker book, long timeoutMicros, int most) {
        this.loop = loop;
        this.book = book;
        this.timeoutMicros = timeoutMicros;
        this.most = most;
    }

    void probe(String engine, Consumer<ProbeResult> answer) {
        String address = book.address(engine);
        if (address == null || out >= most) {
            answer.accept(unanswered(engine, 0));
            return;
        }
        GrpcChannel channel = channels.get(engine);
        if (channel == null || !channel.address().equals(address)) {
            if (channel != null) {
                channel.shutdown();
            }
            channel = new GrpcChannel(loop, address, GrpcChannel.Options.BACKGROUND);
            channels.put(engine, channel);
        }
        out++;
        long start = System.nanoTime();
        ClientCall call =
                channel.newCall(
                        EngineApi.PROBE,
                        null,
                        new ClientCall.Listener() {
                            @Override
                            public void onMessage(ClientCall c, byte[] message, int wireBytes) {
                                c.consumeBytes(wireBytes);
                            }

                            @Override
                            public void onClose(
                                    ClientCall c,
                                    Status status,
                                    Headers trailers,
                                    ClientCall.Termination end) {
                                out--;
                                long took = (System.nanoTime() - start) / 1000;
                                LoadReport load =
                                        status.isOk() ? EngineApi.loadReport(trailers) : null;
                                answer.accept(
                                        load == null
                                                ? unanswered(engine, took)
                                                : new ProbeResult(
                                                        engine,
                                                        true,
                                                        took,
                                                        load.memoryUtilization(),
                                                        load.queuedTokens(),
                                                        load.inFlightRequests(),
                                                        load.queuedRequests()));
                            }
                        });
        call.sendLast(new byte[0]);
        channel.start(call);
        loop.schedule(call::cancel, timeoutMicros, TimeUnit.MICROSECONDS);
    }

    private static ProbeResult unanswered(String engine, long took) {
        return new ProbeResult(engine, false, took, 0, 0, 0, 0);
    }

    void stop() {
        channels.values().forEach(GrpcChannel::shutdown);
    }
}
