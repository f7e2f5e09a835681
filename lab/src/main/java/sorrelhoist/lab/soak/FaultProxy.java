package sorrelhoist.lab.soak;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * The network between one router and one worker: passes bytes on, falls silent, or resets its
 * connections.
 */
final class FaultProxy {
    private static final long CONNECT_TIMEOUT_MICROS = 2_000_000;
    private final EventLoop loop;
    private final WorkerStandIn worker;
    private final Set<Link> links = new HashSet<>();
    private volatile Channel listener;
    private int port;
    private boolean silent;

    FaultProxy(EventLoop loop, WorkerStandIn worker) {
        this.loop = loop;
        this.worker = worker;
    }

    /**
     * Takes connections, at its former port after the first time. Not to be called on the loop, as
     * it waits.
     */
    void open() throws IOException {
        listener = LoopbackTransport.listen(loop, port, Link::new);
        port = LoopbackTransport.localPort(listener);
    }

    String endpoint() {
        return LoopbackTransport.LOOPBACK + ":" + port;
    }

    /** Refuses connections and resets those that are open, as a machine does whose process died. */
    void close() {
        if (listener != null) {
            listener.close();
            listener = null;
        }
        reset();
    }

    /** Resets its connections. */
    void reset() {
        List.copyOf(links).forEach(Link::reset);
    }

    /**
     * Passes nothing on, or does again. When that ends, connections that were open meanwhile are
     * reset, so that nothing arrives late.
     */
    void setSilent(boolean on) {
        silent = on;
        if (on) {
            links.forEach(Link::freeze);
        } else {
            links.stream().filter(link -> link.frozen).toList().forEach(Link::reset);
        }
    }

    /** One connection of the router, and the one to the worker behind it. */
    private final class Link extends ChannelInboundHandlerAdapter {
        private Channel routerSide;
        private Channel workerSide;
        private boolean frozen;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            routerSide = context.channel();
            links.add(this);
            routerSide.config().setAutoRead(false);
            if (silent) {
                frozen = true;
                return;
            }
            LoopbackTransport.connect(
                            loop,
                            LoopbackTransport.LOOPBACK + ":" + worker.port(),
                            CONNECT_TIMEOUT_MICROS,
                            new WorkerSide(this))
                    .onFailure(reason -> reset());
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            workerSide.writeAndFlush(message);
        }

        private void connected(Channel channel) {
            workerSide = channel;
            if (!routerSide.isActive()) {
                workerSide.close();
            } else if (!frozen) {
                routerSide.config().setAutoRead(true);
            }
        }

        void freeze() {
            frozen = true;
            routerSide.config().setAutoRead(false);
            if (workerSide != null) {
                workerSide.config().setAutoRead(false);
            }
        }

        void reset() {
            abort(routerSide);
            if (workerSide != null) {
                abort(workerSide);
            }
        }

        private void abort(Channel channel) {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            links.remove(this);
            if (workerSide != null && workerSide.isActive()) {
                workerSide
                        .writeAndFlush(Unpooled.EMPTY_BUFFER)
                        .addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** The worker's side of a link. */
    private static final class WorkerSide extends ChannelInboundHandlerAdapter {
        private final Link link;

        WorkerSide(Link link) {
            this.link = link;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            link.connected(context.channel());
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            link.routerSide.writeAndFlush(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (link.frozen) {
                return;
            }
            if (link.routerSide.isActive()) {
                link.routerSide
                        .writeAndFlush(Unpooled.EMPTY_BUFFER)
                        .addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            link.reset();
        }
    }
}
