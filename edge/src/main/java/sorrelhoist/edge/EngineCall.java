package sorrelhoist.edge;

import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;

/**
 * A call to an engine. Its methods are called on the router's thread and take effect on the
 * channel's.
 *
 * @param channel the channel that carries it
 * @param call the call
 */
record EngineCall(GrpcChannel channel, ClientCall call) {
    private static final Logger LOG = LoggerFactory.getLogger(EngineCall.class);

    /** Starts the call with its only request message. */
    void start(byte[] request) {
        call.sendLast(request);
        executeOnNetwork(channel, () -> channel.start(call));
    }

    void cancel() {
        executeOnNetwork(channel, call::cancel);
    }

    /**
     * Runs a task on a channel's thread, unless that thread has ended: while the edge stops,
     * releases may still be due.
     */
    static void executeOnNetwork(GrpcChannel channel, Runnable task) {
        if (channel.loop().isShuttingDown()) {
            return;
        }
        try {
            channel.loop().execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("the network has ended", e);
        }
    }
}
