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
 * The attempts in flight: their calls and their trace spans. Its state belongs to the router's
 * thread.
 */
final class EngineAttempts {
    /**
     * An attempt whose end has not been seen.
     *
     * @param call its call
     * @param span its trace span; null if the request is not traced
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
     * Starts an attempt.
     *
     * @param attempt the attempt
     * @param message its request message
     * @param listenerFactory makes the listener to the engine's answer, given the thread of the
     *     connection
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

    /** Cancels an attempt, if it is in flight. */
    void cancel(AttemptId id) {
        InFlight attempt = remove(id);
        if (attempt != null) {
            traceEnd(attempt, Tracing.ATTEMPT_DROPPED);
            attempt.call().cancel();
        }
    }

    /** {@return the attempt, in flight no more; null if it was not, and its end does not matter} */
    InFlight remove(AttemptId id) {
        return inFlight.remove(id);
    }

    /** Ends an attempt's trace span. */
    void traceEnd(InFlight attempt, String outcome) {
        tracing.attemptEnded(attempt.span(), outcome);
    }

    /** {@return the number of attempts in flight} */
    int count() {
        return inFlight.size();
    }
}
