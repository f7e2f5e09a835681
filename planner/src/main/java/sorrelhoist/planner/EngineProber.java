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

/**
 * Probes engines on behalf of edges, with a limited number of probes in flight. Its state belongs
 * to the planner's event loop.
 */
final class EngineProber {
    private final EventLoop loop;
    private final EndpointTracker endpoints;
    private final long timeoutMicros;
    private final int maxInFlight;
    private final Map<String, GrpcChannel> channels = new HashMap<>();
    private int inFlight;

    /**
     * Creates a prober.
     *
     * @param loop the planner's event loop
     * @param endpoints the endpoints with the engines' addresses
     * @param timeoutMicros the timeout of a probe, in microseconds
     * @param maxInFlight the maximum number of probes in flight; further probes fail immediately
     */
    EngineProber(EventLoop loop, EndpointTracker endpoints, long timeoutMicros, int maxInFlight) {
        this.loop = loop;
        this.endpoints = endpoints;
        this.timeoutMicros = timeoutMicros;
        this.maxInFlight = maxInFlight;
    }

    /** Probes an engine. A probe without an answer is reported as unanswered. */
    void probe(String engine, Consumer<ProbeResult> onResult) {
        String address = endpoints.address(engine);
        if (address == null || inFlight >= maxInFlight) {
            onResult.accept(unanswered(engine, 0));
            return;
        }
        GrpcChannel channel = channelTo(engine, address);
        inFlight++;
        ClientCall call =
                channel.newCall(EngineApi.PROBE, null, new ProbeListener(engine, onResult));
        call.sendLast(new byte[0]);
        channel.start(call);
        loop.schedule(call::cancel, timeoutMicros, TimeUnit.MICROSECONDS);
    }

    private GrpcChannel channelTo(String engine, String address) {
        GrpcChannel current = channels.get(engine);
        if (current != null && current.address().equals(address)) {
            return current;
        }
        if (current != null) {
            current.shutdown();
        }
        GrpcChannel channel = new GrpcChannel(loop, address, GrpcChannel.Options.BACKGROUND);
        channels.put(engine, channel);
        return channel;
    }

    private static ProbeResult unanswered(String engine, long latencyMicros) {
        return new ProbeResult(engine, false, latencyMicros, 0, 0, 0, 0);
    }

    /** Closes all connections. */
    void stop() {
        channels.values().forEach(GrpcChannel::shutdown);
    }

    /** Handles an engine's response, which is the load report in its trailers. */
    private final class ProbeListener implements ClientCall.Listener {
        private final String engine;
        private final Consumer<ProbeResult> onResult;
        private final long startNanos = System.nanoTime();

        ProbeListener(String engine, Consumer<ProbeResult> onResult) {
            this.engine = engine;
            this.onResult = onResult;
        }

        @Override
        public void onMessage(ClientCall call, byte[] message, int wireBytes) {
            call.consumeBytes(wireBytes);
        }

        @Override
        public void onClose(
                ClientCall call,
                Status status,
                Headers trailers,
                ClientCall.Termination termination) {
            inFlight--;
            long latencyMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
            LoadReport load = status.isOk() ? EngineApi.loadReport(trailers) : null;
            onResult.accept(
                    load == null
                            ? unanswered(engine, latencyMicros)
                            : new ProbeResult(
                                    engine,
                                    true,
                                    latencyMicros,
                                    load.memoryUtilization(),
                                    load.queuedTokens(),
                                    load.inFlightRequests(),
                                    load.queuedRequests()));
        }
    }
}
