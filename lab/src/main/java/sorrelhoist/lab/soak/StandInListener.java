package sorrelhoist.lab.soak;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import sorrelhoist.protocol.net.LoopbackTransport;

/** Listeners of stand-ins that come back at their former ports. */
final class StandInListener {
    private static final int ATTEMPTS = 20;
    private static final long PAUSE_MILLIS = 100;

    private StandInListener() {}

    /**
     * Listens on a port; a former one may be taken for a moment by a connection of another process.
     * Blocks, so it is not to be called on the event loop.
     *
     * @param loop serves the connections
     * @param port the port; 0 for any
     * @param handlers makes the handler of each connection
     */
    static Channel listen(EventLoop loop, int port, Supplier<ChannelHandler> handlers)
            throws IOException {
        for (int attempt = 1; ; attempt++) {
            try {
                return LoopbackTransport.listen(loop, port, handlers);
            } catch (IOException e) {
                if (port == 0 || attempt == ATTEMPTS) {
                    throw e;
                }
                pause();
            }
        }
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while it waited for a port", e);
        }
    }
}
