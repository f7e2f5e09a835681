package sorrelhoist.edge;

import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;

/**
 * A call to an engine. Its methods are called on the router's thread and run on the channel's
 * network thread.
 *
 * @param channel the channel that carries the call
 * @param call the underlying gRPC call
 */
record EngineCall(GrpcChannel channel, ClientCall call) {
    private static final Logger LOG = LoggerFactory.getLogger(EngineCall.class);

    /** Sends the only request message and starts the call. */
    void start(byte[] request) {
        call.sendLast(request);
        executeOnNetwork(channel, () -> channel.start(call));
    }

    void cancel() {
        executeOnNetwork(channel, call::cancel);
    }

    /**
     * Runs a task on a channel's network thread. Drops the task if that thread is shutting down:
     * reservations may still be released while the edge stops.
     */
    static void executeOnNetwork(GrpcChannel channel, Runnable task) {
        if (channel.loop().isShuttingDown()) {
            return;
        }
        try {
            channel.loop().execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("network thread is shut down; task dropped", e);
        }
    }
}
