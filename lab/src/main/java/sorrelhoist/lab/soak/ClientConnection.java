package sorrelhoist.lab.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import sorrelhoist.protocol.http1.HttpBodyDecoder;
import sorrelhoist.protocol.http1.HttpDecodeException;
import sorrelhoist.protocol.http1.HttpHead;
import sorrelhoist.protocol.http1.HttpHeadDecoder;

/**
 * One client's connection, with one request at a time. Some clients leave early, read slowly, or
 * send more than they should.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_HEAD_BYTES = 64 << 10;
    private static final int OK = 200;
    private static final int MAX_IDLE = 40;
    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final double ABANDON_SHARE = 0.08;
    private static final double SLOW_READER_SHARE = 0.02;
    private static final double PIPELINE_SHARE = 0.03;
    private static final double RETRY_SHARE = 0.02;
    private static final int MAX_ABANDON_MILLIS = 400;
    private static final long SLOW_PAUSE_MILLIS = 250;
    private static final String PIPELINED_REQUEST = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    private final RouterEndpoint router;
    private final int routerIncarnation;
    private final RequestGenerator requests;
    private final TrafficLog log;
    private final Random random;
    private final Deque<ClientConnection> idle;
    private final EventDelayMeter eventDelays = new EventDelayMeter();
    private final HttpHeadDecoder headDecoder = new HttpHeadDecoder(false, MAX_HEAD_BYTES);
    private ChannelHandlerContext context;
    private HttpHead head;
    private HttpBodyDecoder body;
    private RequestTrace request;
    private boolean used;
    private boolean closed;
    private boolean pipelined;

    /**
     * Creates a connection that is not connected yet; it sends its first request once it is.
     *
     * @param router where it connects to
     * @param requests draws its requests
     * @param log takes what it sees
     * @param random draws its behaviour
     * @param idle takes it between requests, up to a limit
     */
    ClientConnection(
            RouterEndpoint router,
            RequestGenerator requests,
            TrafficLog log,
            Random random,
            Deque<ClientConnection> idle) {
        this.router = router;
        this.routerIncarnation = router.incarnation();
        this.requests = requests;
        this.log = log;
        this.random = random;
        this.idle = idle;
    }

    boolean isClosed() {
        return closed;
    }

    @Override
    public void channelActive(ChannelHandlerContext channelContext) {
        context = channelContext;
        send();
    }

    /** Sends a request; the one before has to be answered. */
    void send() {
        RequestTrace sent = requests.next(router.number(), routerIncarnation, !used);
        request = sent;
        used = true;
        log.add(sent);
        write(requests.encode(sent))
                .addListener(
                        (ChannelFutureListener)
                                future -> {
                                    if (future.isSuccess()) {
                                        sent.sentAt = System.nanoTime();
                                    }
                                });
        drawBehaviour(sent);
        schedule(() -> giveUp(sent), sent.budgetNanos + PATIENCE_NANOS, TimeUnit.NANOSECONDS);
    }

    private ChannelFuture write(String text) {
        return context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private void schedule(Runnable task, long delay, TimeUnit unit) {
        context.channel().eventLoop().schedule(task, delay, unit);
    }

    private void drawBehaviour(RequestTrace sent) {
        double draw = random.nextDouble();
        if (draw < ABANDON_SHARE) {
            boolean reset = random.nextBoolean();
            long millis = random.nextInt(MAX_ABANDON_MILLIS);
            schedule(() -> abandon(sent, reset), millis, TimeUnit.MILLISECONDS);
        } else if (draw < ABANDON_SHARE + SLOW_READER_SHARE) {
            sent.readSlowly = true;
            readSlowly(sent);
        } else if (draw < ABANDON_SHARE + SLOW_READER_SHARE + PIPELINE_SHARE) {
            pipelined = true;
            write(PIPELINED_REQUEST);
        }
    }

    private void abandon(RequestTrace sent, boolean reset) {
        if (request == sent && !closed) {
            sent.abandonedAt = System.nanoTime();
            closed = true;
            if (reset) {
                context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            }
            context.close();
        }
    }

    private void readSlowly(RequestTrace sent) {
        if (request == sent && !closed) {
            setAutoRead(!context.channel().config().isAutoRead());
            schedule(() -> readSlowly(sent), SLOW_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        } else if (!closed) {
            setAutoRead(true);
        }
    }

    private void setAutoRead(boolean autoRead) {
        context.channel().config().setAutoRead(autoRead);
    }

    private void giveUp(RequestTrace sent) {
        if (request == sent && sent.status == 0) {
            abandon(sent, true);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext channelContext, Object message) {
        ByteBuf in = (ByteBuf) message;
        try {
            while (in.isReadable() && request != null) {
                readResponse(in);
            }
        } catch (HttpDecodeException e) {
            context.close();
        } finally {
            in.release();
        }
    }

    private void readResponse(ByteBuf in) throws HttpDecodeException {
        if (head == null) {
            head = headDecoder.next(in);
            if (head == null) {
                return;
            }
            body = HttpBodyDecoder.forHead(head);
            request.status = head.status();
            eventDelays.reset();
        }
        for (ByteBuf part = body.next(in); part != null; part = body.next(in)) {
            if (request.status == OK) {
                long delay = eventDelays.add(part.toString(StandardCharsets.ISO_8859_1));
                request.maxEventDelay = Math.max(request.maxEventDelay, delay);
            }
        }
        if (body.isComplete()) {
            completed();
        }
    }

    private void completed() {
        RequestTrace done = request;
        done.answeredAt = System.nanoTime();
        done.complete = true;
        boolean reusable = head.isKeepAlive() && !pipelined;
        request = null;
        head = null;
        setAutoRead(true);
        if (!reusable || idle.size() >= MAX_IDLE) {
            closed = true;
            context.close();
        } else if (done.status != OK && random.nextDouble() < RETRY_SHARE) {
            send();
        } else {
            idle.add(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext channelContext) {
        closed = true;
        if (request != null && request.abandonedAt == RequestTrace.NEVER) {
            request.closedAt = System.nanoTime();
        }
        request = null;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
        channelContext.close();
    }
}
