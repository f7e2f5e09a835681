package sorrelhoist.lab.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
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
        return retry(port, () -> LoopbackTransport.listen(loop, port, handlers));
    }

    /**
     * The same with an accept queue of a given length.
     *
     * @param loop serves the connections
     * @param port the port; 0 for any
     * @param backlog of the listener
     * @param handlers makes the handler of each connection
     */
    static Channel listen(EventLoop loop, int port, int backlog, Supplier<ChannelHandler> handlers)
            throws IOException {
        return retry(port, () -> bind(loop, port, backlog, handlers));
    }

    private static Channel bind(
            EventLoop loop, int port, int backlog, Supplier<ChannelHandler> handlers)
            throws IOException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, backlog)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel accepted) {
                                        accepted.pipeline().addLast(handlers.get());
                                    }
                                })
                        .bind(LoopbackTransport.LOOPBACK, port)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on port " + port, bound.cause());
        }
        return bound.channel();
    }

    /** Opens a listener. */
    private interface Opening {
        Channel open() throws IOException;
    }

    private static Channel retry(int port, Opening opening) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try {
                return opening.open();
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
