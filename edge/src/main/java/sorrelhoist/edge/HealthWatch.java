package sorrelhoist.edge;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.inference.ModelMessages;

/**
 * Serves a client's health Watch call: sends the status immediately and again whenever it has
 * changed. Polls the status once a second, which is often enough for a load balancer. Runs on the
 * call's network thread.
 */
final class HealthWatch implements ServerCall.Listener {
    private static final int NOTHING_SENT = -1;
    private static final long POLL_INTERVAL_SECONDS = 1;

    private final ServerCall call;
    private final IntSupplier status;
    private int lastSent = NOTHING_SENT;

    HealthWatch(ServerCall call, IntSupplier status) {
        this.call = call;
        this.status = status;
    }

    @Override
    public void onMessage(byte[] message) {
        poll();
    }

    private void poll() {
        if (call.isClosed()) {
            return;
        }
        int current = status.getAsInt();
        if (current != lastSent) {
            lastSent = current;
            call.send(ModelMessages.healthCheckResponse(current));
        }
        call.executor().schedule(this::poll, POLL_INTERVAL_SECONDS, TimeUnit.SECONDS);
    }
}
