package sorrelhoist.protocol.grpc;

/**
 * Collects the single request message of a call and passes it to the handler when the client has
 * closed its sending side.
 */
final class UnaryCallListener implements ServerCall.Listener {
    private final ServerCall call;
    private final GrpcServer.UnaryHandler handler;
    private byte[] request;

    UnaryCallListener(ServerCall call, GrpcServer.UnaryHandler handler) {
        this.call = call;
        this.handler = handler;
    }

    @Override
    public void onMessage(byte[] message) {
        if (request != null) {
            call.close(new Status(StatusCode.INVALID_ARGUMENT, "send one message"), null);
        }
        request = message;
    }

    @Override
    public void onHalfClose() {
        if (request == null) {
            call.close(
                    new Status(StatusCode.INVALID_ARGUMENT, "the request's message is missing"),
                    null);
        } else {
            handler.call(call, request);
        }
    }
}
