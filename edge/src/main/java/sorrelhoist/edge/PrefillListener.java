package sorrelhoist.edge;

import sorrelhoist.core.request.AttemptId;
import sorrelhoist.core.request.Router;
import sorrelhoist.protocol.engine.PrefillReply;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * Handles an engine's response to a prefill attempt: one reply with the id of the prefill state.
 */
final class PrefillListener extends AttemptListener {
    private PrefillReply reply;

    PrefillListener(RouterEventLoop router, EngineAttempts attempts, AttemptId attempt) {
        super(router, attempts, attempt);
    }

    @Override
    public void onMessage(ClientCall call, byte[] message, int wireBytes) {
        call.consumeBytes(wireBytes);
        try {
            reply = PrefillReply.parse(message);
        } catch (ProtoException e) {
            failMalformed(call);
        }
    }

    @Override
    boolean reportCompleted(Router r, ServerLoad load) {
        if (reply == null) {
            return false;
        }
        r.prefillCompleted(router.now(), attempt, reply.stateId(), reply.cachedTokens(), load);
        return true;
    }
}
