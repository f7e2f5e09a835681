package sorrelhoist.edge;

import io.netty.channel.EventLoop;
import io.opentelemetry.api.trace.Span;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import sorrelhoist.core.request.AttemptId;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * Tracks the attempts in flight with their calls and trace spans. Its state belongs to the router's
 * thread.
 */
final class EngineAttempts {
    /**
     * An attempt whose end has not been seen.
     *
     * @param call the call to the engine
     * @param span the attempt's trace span; null if the request is not traced
     */
    record InFlight(EngineCall call, Span span) {}

    private final RouterEventLoop router;
    private final EngineConnections connections;
    private final Tracing tracing;
    private final Map<AttemptId, InFlight> inFlight = new HashMap<>();

    EngineAttempts(RouterEventLoop router, EngineConnections connections, Tracing tracing) {
        this.router = router;
        this.connections = connections;
        this.tracing = tracing;
    }

    /**
     * Starts an attempt. An attempt at an engine without a channel fails with {@link
     * Outcome#CONNECT_FAILED}.
     *
     * @param attempt the attempt
     * @param message the encoded request message
     * @param listenerFactory creates the listener for the engine's response, given the network
     *     thread of the connection
     */
    void start(
            EngineAttempt attempt,
            byte[] message,
            Function<EventLoop, AttemptListener> listenerFactory) {
        GrpcChannel channel = connections.channelTo(attempt.engine());
        if (channel == null) {
            router.execute(
                    r ->
                            r.attemptFailed(
                                    router.now(),
                                    attempt.id(),
                                    Outcome.CONNECT_FAILED,
                                    0,
                                    ServerLoad.NONE));
            return;
        }
        Headers metadata = CallMetadata.withDeadline(attempt.deadlineMicros(), router.now());
        int previousAttempts = attempt.request().previousAttempts();
        if (previousAttempts > 0) {
            metadata.add(CallMetadata.PREVIOUS_ATTEMPTS, Integer.toString(previousAttempts));
        }
        Span span = tracing.startAttempt(attempt, metadata);
        ClientCall call =
                channel.newCall(
                        attempt.phase().path(), metadata, listenerFactory.apply(channel.loop()));
        EngineCall engineCall = new EngineCall(channel, call);
        inFlight.put(attempt.id(), new InFlight(engineCall, span));
        engineCall.start(message);
    }

    /** Cancels an attempt. Does nothing if the attempt is not in flight. */
    void cancel(AttemptId id) {
        InFlight attempt = remove(id);
        if (attempt != null) {
            traceEnd(attempt, Tracing.ATTEMPT_CANCELLED);
            attempt.call().cancel();
        }
    }

    /**
     * Removes an attempt and returns it; null if it was not in flight, in which case its end has to
     * be ignored.
     */
    InFlight remove(AttemptId id) {
        return inFlight.remove(id);
    }

    /** Ends an attempt's trace span. */
    void traceEnd(InFlight attempt, String outcome) {
        tracing.attemptEnded(attempt.span(), outcome);
    }

    /** Returns the number of attempts in flight. */
    int count() {
        return inFlight.size();
    }
}
