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

/** Netty's sockets, on loopback addresses alone (127.0.0.0/8). */
public final class LoopbackTransport {
    /** The address that is listened on where none is given. */
    public static final String LOOPBACK = "127.0.0.1";

    private LoopbackTransport() {}

    /** {@return event loops of daemon threads} */
    public static EventLoopGroup newEventLoops(int threads, String name) {
        return new MultiThreadIoEventLoopGroup(
                threads,
                new DefaultThreadFactory(name, true),
                BlockingWaits.around(NioIoHandler.newFactory()));
    }

    /**
     * Makes one event loop, of a daemon thread, that tells how late it reads.
     *
     * @param name of its thread
     * @param readDelay told of each of its passes
     * @return a group of that loop alone
     */
    public static EventLoopGroup newEventLoop(String name, ReadDelayEstimator readDelay) {
        return new MultiThreadIoEventLoopGroup(
                1,
                new DefaultThreadFactory(name, true),
                BlockingWaits.around(NioIoHandler.newFactory(), readDelay));
    }

    /**
     * Listens on the loopback address.
     *
     * @param loops for the listener and its connections
     * @param port the port; 0 for one that the system picks
     * @param handler makes the handler of each connection
     * @return the listener
     * @throws IOException where the port cannot be had
     */
    public static Channel listen(EventLoopGroup loops, int port, Supplier<ChannelHandler> handler)
            throws IOException {
        return listen(loops, new InetSocketAddress(LOOPBACK, port), handler);
    }

    /**
     * Listens on one loopback address.
     *
     * @param loops for the listener and its connections
     * @param address from {@link #parseAddress}
     * @param handler makes the handler of each connection
     * @return the listener
     * @throws IOException where the address cannot be had
     */
    public static Channel listen(
            EventLoopGroup loops, InetSocketAddress address, Supplier<ChannelHandler> handler)
            throws IOException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .handler(new AcceptErrors())
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline().addLast(handler.get());
                                    }
                                })
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on "
                            + address.getHostString()
                            + ":"
                            + address.getPort()
                            + ": "
                            + bound.cause().getMessage(),
                    bound.cause());
        }
        return bound.channel();
    }

    /**
     * {@return for how many nanoseconds a connection may have waited because accepting failed; 0
     * for not at all}
     */
    public static long acceptDelayNanos(Channel accepted) {
        return AcceptErrors.waitedNanos(accepted);
    }

    /** {@return the port of a listener} */
    public static int localPort(Channel listener) {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Connects to a loopback port.
     *
     * @param loop the connection's event loop
     * @param address host:port; the host has to be a loopback address
     * @param timeoutMicros until the attempt fails
     * @param handler the connection's handler
     * @return the attempt
     */
    public static ConnectionAttempt connect(
            EventLoop loop, String address, long timeoutMicros, ChannelHandler handler) {
        InetSocketAddress to = parseAddress(address);
        NioSocketChannel channel;
        try {
            channel = new NioSocketChannel();
        } catch (ChannelException e) {
            return ConnectionAttempt.withoutSocket(loop, e);
        }
        return ConnectionAttempt.on(
                loop,
                new Bootstrap()
                        .group(loop)
                        .channelFactory(() -> channel)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) Math.max(1, timeoutMicros / 1000))
                        .handler(handler)
                        .connect(to));
    }

    /**
     * Reads an address.
     *
     * @param address 127.X.X.X:PORT
     * @return the same
     * @throws IllegalArgumentException where it is none, or leads elsewhere
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
            if (port > 0 && port < 1 << 16) {
                return new InetSocketAddress(local ? LOOPBACK : host, port);
            }
        } catch (NumberFormatException e) {
            // Said below, as for a port out of range.
        }
        throw new IllegalArgumentException(
                "address \"" + address + "\": the port has to be from 1 to 65535");
    }
}
