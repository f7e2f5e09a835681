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
 * The network between one router and one worker: passes bytes on, falls silent, or resets what is
 * open.
 */
final class FaultProxy {
    private static final long CONNECT_MICROS = 2_000_000;
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

    /** Resets what is open. */
    void reset() {
        List.copyOf(links).forEach(Link::reset);
    }

    /**
     * Passes nothing on; when that ends, what was open meanwhile is reset, so that nothing arrives
     * late.
     */
    void silent(boolean on) {
        silent = on;
        if (on) {
            links.forEach(Link::freeze);
        } else {
            links.stream().filter(link -> link.frozen).toList().forEach(Link::reset);
        }
    }

    /** One connection of the router, and the one to the worker behind it. */
    private final class Link extends ChannelInboundHandlerAdapter {
        private Channel near;
        private Channel far;
        private boolean frozen;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            near = ctx.channel();
            links.add(this);
            near.config().setAutoRead(false);
            if (silent) {
                frozen = true;
                return;
            }
            LoopbackTransport.connect(
                            loop,
                            LoopbackTransport.LOOPBACK + ":" + worker.port(),
                            CONNECT_MICROS,
                            new Back(this))
                    .onFailure(why -> reset());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            far.writeAndFlush(message);
        }

        private void connected(Channel channel) {
            far = channel;
            if (!near.isActive()) {
                far.close();
            } else if (!frozen) {
                near.config().setAutoRead(true);
            }
        }

        void freeze() {
            frozen = true;
            near.config().setAutoRead(false);
            if (far != null) {
                far.config().setAutoRead(false);
            }
        }

        void reset() {
            abort(near);
            if (far != null) {
                abort(far);
            }
        }

        private void abort(Channel channel) {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            links.remove(this);
            if (far != null && far.isActive()) {
                far.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** The worker's side of a link. */
    private static final class Back extends ChannelInboundHandlerAdapter {
        private final Link link;

        Back(Link link) {
            this.link = link;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            link.connected(ctx.channel());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            link.near.writeAndFlush(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (link.frozen) {
                return;
            }
            if (link.near.isActive()) {
                link.near
                        .writeAndFlush(Unpooled.EMPTY_BUFFER)
                        .addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            link.reset();
        }
    }
}
