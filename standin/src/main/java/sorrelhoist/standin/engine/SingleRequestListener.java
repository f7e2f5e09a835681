package sorrelhoist.standin.engine;

import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.protobuf.ProtoException;

/** Listens to a call that carries one request message; messages after the first are ignored. */
final class SingleRequestListener implements ServerCall.Listener {
    /** Takes the request message. */
    interface RequestHandler {
        void handle(byte[] message) throws ProtoException;
    }

    private final ServerCall call;
    private final CallResponder responder;
    private final RequestHandler handler;
    private final Runnable cancelled;
    private boolean received;

    SingleRequestListener(
            ServerCall call, CallResponder responder, RequestHandler handler, Runnable cancelled) {
        this.call = call;
        this.responder = responder;
        this.handler = handler;
        this.cancelled = cancelled;
    }

    @Override
    public void onMessage(byte[] message) {
        if (received) {
            return;
        }
        received = true;
        try {
            handler.handle(message);
        } catch (ProtoException e) {
            responder.fail(call, StatusCode.INVALID_ARGUMENT, e.getMessage());
        }
    }

    @Override
    public void onCancel(String reason) {
        cancelled.run();
    }
}
