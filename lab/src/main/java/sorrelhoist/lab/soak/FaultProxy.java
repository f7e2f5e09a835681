package sorrelhoist.lab.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * The network between one router and one worker: passes bytes on after a delay, falls silent, or
 * resets its connections. A silence begins where bytes enter: those that are under way arrive.
 */
final class FaultProxy {
    private static final long CONNECT_TIMEOUT_MICROS = 2_000_000;
    private static final int MAX_READS_PER_TURN = 64;

    private final EventLoop loop;
    private final WorkerStandIn worker;
    private final Random random;
    private final Set<Link> links = new HashSet<>();
    private final ConnectionBlocker connecting = new ConnectionBlocker();
    private volatile Channel listener;
    private int port;

    /** How many faults silence it now; they may overlap. */
    private int silences;

    private boolean delaying = true;

    /**
     * Creates one that does not take connections yet.
     *
     * @param loop its event loop, the worker's
     * @param worker where it leads
     * @param seed of its delays
     */
    FaultProxy(EventLoop loop, WorkerStandIn worker, long seed) {
        this.loop = loop;
        this.worker = worker;
        this.random = new Random(seed);
    }

    /** Passes the bytes of connections to come on at once. */
    void stopDelaying() {
        delaying = false;
    }

    private DelayLine newDelayLine() {
        return delaying ? DelayLine.drawn(loop, random) : DelayLine.undelayed(loop, random);
    }

    /**
     * Takes connections, at its former port after the first time. Not to be called on the loop, as
     * it waits.
     */
    void open() throws IOException {
        Channel opened = StandInListener.listen(loop, port, ConnectionBlocker.BACKLOG, Link::new);
        listener = opened;
        port = LoopbackTransport.localPort(opened);
        loop.submit(() -> connecting.listenerOpened(opened)).syncUninterruptibly();
    }

    String endpoint() {
        return LoopbackTransport.LOOPBACK + ":" + port;
    }

    /** Refuses connections and resets those that are open, as a machine does whose process died. */
    void close() {
        if (listener != null) {
            listener.close();
            listener = null;
            connecting.listenerClosed();
        }
        reset();
    }

    /** Resets its connections. */
    void reset() {
        List.copyOf(links).forEach(Link::reset);
    }

    /** What becomes of connections that were silent. */
    enum AfterSilence {
        /** They are reset, so that nothing arrives late. */
        RESET,
        /** What was written meanwhile arrives, unless its sender has reset the connection. */
        DELIVER
    }

    /** Lets no new connection come up from now on; those that are open are not touched. */
    void blockConnections() {
        connecting.block();
    }

    /** Lets new connections come up again, unless another block or a silence lasts. */
    void unblockConnections() {
        connecting.unblock();
    }

    /** Passes nothing on from now on, and lets no new connection come up. */
    void silence() {
        connecting.block();
        silences++;
        links.forEach(Link::freeze);
    }

    /** Passes everything on again, unless another silence lasts. */
    void endSilence(AfterSilence after) {
        connecting.unblock();
        silences--;
        if (silences == 0) {
            links.stream().filter(link -> link.frozen).toList().forEach(link -> link.thaw(after));
        }
    }

    /** Passes nothing on from some of the connections that are open, until they are reset. */
    Runnable silenceConnections(Random random, double share) {
        List<Link> chosen =
                links.stream().filter(link -> !link.frozen && random.nextDouble() < share).toList();
        chosen.forEach(Link::freeze);
        AfterSilence after = random.nextBoolean() ? AfterSilence.RESET : AfterSilence.DELIVER;
        return () -> {
            if (silences == 0) {
                chosen.forEach(link -> link.thaw(after));
            }
        };
    }

    /** One connection of the router, and the one to the worker behind it. */
    private final class Link extends ChannelInboundHandlerAdapter {
        private Channel routerSide;
        private Channel workerSide;
        private final DelayLine toWorker = newDelayLine();
        private final DelayLine toRouter = newDelayLine();
        private boolean frozen;

        /** What came while it was silent, until it is known whether its sender has reset it. */
        private CompositeByteBuf backlog;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            routerSide = context.channel();
            if (!connecting.admits(routerSide)) {
                reset();
                return;
            }
            links.add(this);
            routerSide.config().setAutoRead(false);
            // Reads to the end of what there is, so that a reset behind it is seen with it.
            routerSide
                    .config()
                    .setRecvByteBufAllocator(
                            new AdaptiveRecvByteBufAllocator()
                                    .respectMaybeMoreData(false)
                                    .maxMessagesPerRead(MAX_READS_PER_TURN));
            if (silences > 0) {
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
            if (backlog != null) {
                backlog.addComponent(true, (ByteBuf) message);
            } else {
                toWorker.pass(() -> workerSide.writeAndFlush(message));
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (backlog != null) {
                // In a task of its own: a reset is reported right after this.
                loop.execute(this::deliverBacklog);
            }
        }

        private void deliverBacklog() {
            if (backlog != null) {
                CompositeByteBuf late = backlog;
                backlog = null;
                toWorker.pass(() -> workerSide.writeAndFlush(late));
            }
        }

        private void connected(Channel channel) {
            workerSide = channel;
            worker.linked(LoopbackTransport.localPort(channel), toWorker.delayNanos());
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

        /**
         * Speaks again. What a sender's system had not sent when it reset the connection is lost.
         */
        void thaw(AfterSilence after) {
            if (!frozen || !links.contains(this)) {
                return;
            }
            if (after == AfterSilence.RESET || workerSide == null || !workerSide.isActive()) {
                reset();
                return;
            }
            frozen = false;
            backlog = Unpooled.compositeBuffer();
            routerSide.config().setAutoRead(true);
            workerSide.config().setAutoRead(true);
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
            deliverBacklog();
            if (workerSide != null && workerSide.isActive()) {
                toWorker.passEnd(() -> closeOnceWritten(workerSide));
            }
        }

        /** Closes a side after what was written to it. */
        private void closeOnceWritten(Channel side) {
            side.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        /** The worker has closed its connection, or reset it. */
        private void workerEnded(boolean wasReset) {
            if (wasReset) {
                toRouter.pass(this::reset);
            } else if (!frozen && routerSide.isActive()) {
                toRouter.passEnd(() -> closeOnceWritten(routerSide));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (backlog != null) {
                backlog.release();
                backlog = null;
                toWorker.pass(() -> abort(workerSide));
            }
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
            link.toRouter.pass(() -> link.routerSide.writeAndFlush(message));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            link.workerEnded(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            link.workerEnded(true);
        }
    }
}
