package sorrelhoist.edge;

import io.netty.channel.EventLoop;
import java.util.concurrent.atomic.AtomicInteger;
import sorrelhoist.core.request.AttemptId;
import sorrelhoist.core.request.Router;
import sorrelhoist.protocol.engine.DecodeEvent;
import sorrelhoist.protocol.engine.Finish;
import sorrelhoist.protocol.engine.Token;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/** Handles an engine's response to a decode attempt: tokens, then one finish event. */
final class DecodeListener extends AttemptListener {
    /** Flow-control credit is returned to the engine in batches of at least this many bytes. */
    private static final int MIN_CREDIT_BYTES = 8 << 10;

    private final EventLoop network;
    private final AtomicInteger consumedBytes = new AtomicInteger();
    private Finish finish;

    DecodeListener(
            RouterEventLoop router, EngineAttempts attempts, AttemptId attempt, EventLoop network) {
        super(router, attempts, attempt);
        this.network = network;
    }

    @Override
    public void onMessage(ClientCall call, byte[] message, int wireBytes) {
        DecodeEvent event;
        try {
            event = DecodeEvent.parse(message);
        } catch (ProtoException e) {
            failMalformed(call);
            return;
        }
        if (finish != null) {
            failMalformed(call); // the finish event has to be the last
        } else if (event.finish() != null) {
            call.consumeBytes(wireBytes);
            finish = event.finish();
        } else {
            reportToken(event.token(), () -> returnCredit(call, wireBytes));
        }
    }

    private void reportToken(Token token, Runnable onConsumed) {
        router.execute(
                r ->
                        r.tokenReceived(
                                router.now(), attempt, token.index(), token.text(), onConsumed));
    }

    /**
     * Returns the flow-control credit of a token that the client has consumed. May run on any
     * thread.
     */
    private void returnCredit(ClientCall call, int wireBytes) {
        if (consumedBytes.addAndGet(wireBytes) >= MIN_CREDIT_BYTES) {
            network.execute(() -> call.consumeBytes(consumedBytes.getAndSet(0)));
        }
    }

    @Override
    boolean reportCompleted(Router r, ServerLoad load) {
        if (finish == null) {
            return false;
        }
        r.tokenStreamCompleted(router.now(), attempt, finish.tokens(), finish.cachedTokens(), load);
        return true;
    }
}
