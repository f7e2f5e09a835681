package sorrelhoist.protocol.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * Creates event loops, listeners and connections. Addresses are limited to the loopback network
 * (127.0.0.0/8).
 */
public final class LoopbackTransport {
    /** The default address of listeners. */
    public static final String LOOPBACK = "127.0.0.1";

    private static final int ACCEPT_BACKLOG = 1024;
    private static final int MAX_PORT = (1 << 16) - 1;

    private LoopbackTransport() {}

    /** {@return a group of event loops, each with its own daemon thread} */
    public static EventLoopGroup newEventLoops(int threads, String name) {
        return new MultiThreadIoEventLoopGroup(
                threads,
                new DefaultThreadFactory(name, true),
                BlockingIoHandler.wrap(NioIoHandler.newFactory()));
    }

    /**
     * Creates one event loop with a daemon thread, and measures how late it reads.
     *
     * @param name prefix of the thread's name
     * @param readDelay notified of each poll of the event loop
     * @param whenEnded runs as the last step of the loop's thread, whatever ended it. Netty's
     *     termination future needs another thread, which cannot be started without memory
     * @return a group with only this event loop
     */
    public static EventLoopGroup newEventLoop(
            String name, ReadDelayEstimator readDelay, Runnable whenEnded) {
        return new MultiThreadIoEventLoopGroup(
                1,
                new EndReportingThreadFactory(name, whenEnded),
                BlockingIoHandler.wrap(NioIoHandler.newFactory(), readDelay));
    }

    /** Creates daemon threads that report their end, whether orderly or by an error. */
    private static final class EndReportingThreadFactory extends DefaultThreadFactory {
        private final Runnable whenEnded;

        EndReportingThreadFactory(String name, Runnable whenEnded) {
            super(name, true);
            this.whenEnded = whenEnded;
        }

        @Override
        public Thread newThread(Runnable task) {
            return super.newThread(() -> runAndReport(task));
        }

        private void runAndReport(Runnable task) {
            try {
                task.run();
            } finally {
                whenEnded.run();
            }
        }
    }

    /**
     * Listens on the loopback address.
     *
     * @param loops event loops for the listener and its connections
     * @param port the port; 0 for a free port chosen by the operating system
     * @param handler creates the handler of each connection
     * @return the listener
     * @throws IOException if the port cannot be bound
     */
    public static Channel listen(EventLoopGroup loops, int port, Supplier<ChannelHandler> handler)
            throws IOException {
        return listen(loops, new InetSocketAddress(LOOPBACK, port), handler);
    }

    /**
     * Listens on a given loopback address.
     *
     * @param loops event loops for the listener and its connections
     * @param address an address from {@link #parseAddress}
     * @param handler creates the handler of each connection
     * @return the listener
     * @throws IOException if the address cannot be bound
     */
    public static Channel listen(
            EventLoopGroup loops, InetSocketAddress address, Supplier<ChannelHandler> handler)
            throws IOException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .handler(new AcceptErrorHandler())
                        .childHandler(initializer(handler))
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            String target = address.getHostString() + ":" + address.getPort();
            throw new IOException(
                    "cannot listen on " + target + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        return bound.channel();
    }

    private static ChannelHandler initializer(Supplier<ChannelHandler> handler) {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(handler.get());
            }
        };
    }

    /**
     * {@return the longest time for which a connection may have waited because accepts failed, in
     * nanoseconds; 0 if none failed}
     */
    public static long acceptDelayNanos(Channel accepted) {
        return AcceptErrorHandler.acceptDelayNanos(accepted);
    }

    /** {@return the local port of a listener} */
    public static int localPort(Channel listener) {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Connects to a loopback address.
     *
     * @param loop the connection's event loop
     * @param address host:port, where the host is a loopback address
     * @param timeoutMicros time until the attempt fails, in microseconds
     * @param handler the connection's handler
     * @return the attempt
     */
    public static ConnectionAttempt connect(
            EventLoop loop, String address, long timeoutMicros, ChannelHandler handler) {
        InetSocketAddress remote = parseAddress(address);
        NioSocketChannel channel;
        try {
            channel = new NioSocketChannel();
        } catch (ChannelException e) {
            return ConnectionAttempt.withoutSocket(loop, e);
        }
        return ConnectionAttempt.started(
                loop,
                new Bootstrap()
                        .group(loop)
                        .channelFactory(() -> channel)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) Math.max(1, timeoutMicros / 1000))
                        .handler(handler)
                        .connect(remote));
    }

    /**
     * Parses an address.
     *
     * @param address the address, 127.X.X.X:PORT or localhost:PORT
     * @return the parsed address
     * @throws IllegalArgumentException if the address is malformed or not a loopback address
     */
    public static InetSocketAddress parseAddress(String address) {
        int colon = address == null ? -1 : address.lastIndexOf(':');
        String host = colon < 0 ? "" : address.substring(0, colon);
        boolean local = host.equals("localhost");
        if (!local && !host.matches("127(\\.(0|[1-9][0-9]{0,2})){3}")) {
            throw new IllegalArgumentException("address \"" + address + "\": give 127.X.X.X:PORT");
        }
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            if (port > 0 && port <= MAX_PORT) {
                return new InetSocketAddress(local ? LOOPBACK : host, port);
            }
        } catch (NumberFormatException e) {
            // Reported below, as for a port out of range.
        }
        throw new IllegalArgumentException(
                "address \"" + address + "\": the port has to be from 1 to 65535");
    }
}
