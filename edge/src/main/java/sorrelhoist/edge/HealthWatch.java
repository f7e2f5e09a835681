package sorrelhoist.edge;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.inference.ModelMessages;

/**
 * A client's watch of the health: sends the status at once and whenever it has changed. The status
 * is polled once a second, which is soon enough for a load balancer. On the call's thread.
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
