package sorrelhoist.lab.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.RequestTrace.AttemptTrace;
import sorrelhoist.protocol.http1.HttpBodyDecoder;
import sorrelhoist.protocol.http1.HttpDecodeException;
import sorrelhoist.protocol.http1.HttpHead;
import sorrelhoist.protocol.http1.HttpHeadDecoder;

/** One connection of a router to a worker, with one request at a time. */
final class WorkerConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_HEAD_BYTES = 64 << 10;
    private static final int IDLE_CHECKS_PER_TIMEOUT = 4;
    private static final String HOLDS_PATH = "/v1/holds/";
    private static final String NO_CONTENT = "HTTP/1.1 204 No Content\r\n\r\n";
    private static final String NOT_FOUND = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    private static final String BAD_REQUEST =
            "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
    private final WorkerStandIn worker;
    private final HttpHeadDecoder headDecoder = new HttpHeadDecoder(true, MAX_HEAD_BYTES);
    private final ByteBuf unread = Unpooled.buffer();
    private ChannelHandlerContext context;
    private int remotePort;
    private HttpHead head;
    private HttpBodyDecoder body;
    private WorkerAttempt attempt;
    private long firstByteAt;
    private long latestByteAt;
    private long idleSince;
    private boolean closed;

    /** A call that came while the worker's work stood still. */
    private HttpHead deferredCall;

    /** When the other side closed it while the worker was stopped, which it notices later. */
    private long unnoticedCloseAt = RequestTrace.NEVER;

    WorkerConnection(WorkerStandIn worker) {
        this.worker = worker;
    }

    boolean isClosed() {
        return closed;
    }

    /** {@return the port from which it was opened} */
    int remotePort() {
        return remotePort;
    }

    @Override
    public void channelActive(ChannelHandlerContext channelContext) {
        context = channelContext;
        remotePort = ((InetSocketAddress) context.channel().remoteAddress()).getPort();
        worker.opened(this);
        idleSince = System.nanoTime();
        scheduleIdleCheck();
    }

    private void scheduleIdleCheck() {
        long millis = worker.idleTimeoutMillis() / IDLE_CHECKS_PER_TIMEOUT;
        schedule(this::closeIfIdle, millis);
    }

    private void closeIfIdle() {
        if (closed) {
            return;
        }
        if (worker.isHanging()) {
            scheduleIdleCheck();
            return;
        }
        boolean idle = head == null && attempt == null && !unread.isReadable();
        long timeout = TimeUnit.MILLISECONDS.toNanos(worker.idleTimeoutMillis());
        if (idle && System.nanoTime() - idleSince >= timeout) {
            context.close();
        } else {
            scheduleIdleCheck();
        }
    }

    void schedule(Runnable task, long millis) {
        context.channel().eventLoop().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    /** Resets the connection. */
    void reset() {
        noticeClose();
        if (context.channel().isOpen()) {
            context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            context.close();
        }
    }

    /** The worker hangs no more: takes what came meanwhile, a close last. */
    void resume() {
        if (deferredCall != null && !closed) {
            HttpHead call = deferredCall;
            deferredCall = null;
            handle(call);
        }
        readRequest();
        noticeClose();
    }

    private void noticeClose() {
        if (unnoticedCloseAt != RequestTrace.NEVER) {
            unnoticedCloseAt = RequestTrace.NEVER;
            close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext channelContext, Object message) {
        ByteBuf in = (ByteBuf) message;
        if (!unread.isReadable() && head == null) {
            firstByteAt = System.nanoTime();
        }
        latestByteAt = System.nanoTime();
        unread.discardReadBytes().writeBytes(in);
        in.release();
        if (!worker.isStopped()) {
            readRequest();
        }
    }

    private void readRequest() {
        if (closed || attempt != null || deferredCall != null) {
            return;
        }
        try {
            if (head == null) {
                head = headDecoder.next(unread);
                if (head == null) {
                    return;
                }
                body = HttpBodyDecoder.forHead(head);
            }
            while (body.next(unread) != null) {
                // The content itself does not matter.
            }
            if (body.isComplete()) {
                HttpHead request = head;
                head = null;
                handle(request);
            }
        } catch (HttpDecodeException e) {
            context.close();
        }
    }

    private void handle(HttpHead head) {
        idleSince = System.nanoTime();
        if (head.path().startsWith(HOLDS_PATH)) {
            if (worker.isHanging()) {
                deferredCall = head;
                return;
            }
            if (head.method().equals("DELETE")) {
                release(head.path().substring(HOLDS_PATH.length()));
            } else {
                write(NOT_FOUND);
            }
            return;
        }
        RequestTrace request = worker.log().find(head.header("x-call-id"));
        if (request == null) {
            write(BAD_REQUEST);
            return;
        }
        AttemptTrace trace = new AttemptTrace(worker.role, worker.uid, firstByteAt);
        trace.lastByteAt = latestByteAt;
        trace.linkDelay = worker.linkDelayNanos(remotePort);
        trace.arrivedAt = System.nanoTime();
        trace.budgetMillis = Long.parseLong(head.header("x-budget-ms"));
        trace.endedAt = unnoticedCloseAt;
        request.attempts.add(trace);
        attempt = new WorkerAttempt(worker, this, request, trace);
        attempt.start();
    }

    private void release(String requestId) {
        worker.release(requestId);
        if (worker.drawMisbehaviour() == Misbehaviour.RESET_AFTER_REQUEST) {
            reset();
        } else {
            write(NO_CONTENT);
        }
    }

    /** Sends text as it is. */
    void write(String text) {
        if (!closed) {
            context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1))
                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
    }

    /** The attempt is over: the connection is free for the next request. */
    void attemptEnded() {
        attempt.trace().endedAt = Math.min(attempt.trace().endedAt, System.nanoTime());
        attempt = null;
        idleSince = System.nanoTime();
        context.channel().eventLoop().execute(this::readRequest);
    }

    @Override
    public void channelInactive(ChannelHandlerContext channelContext) {
        if (attempt != null) {
            attempt.trace().endedAt = Math.min(attempt.trace().endedAt, System.nanoTime());
        }
        if (worker.isStopped()) {
            unnoticedCloseAt = System.nanoTime();
        } else {
            close();
        }
    }

    private void close() {
        closed = true;
        worker.closed(this);
        unread.release();
        if (attempt != null) {
            AttemptTrace trace = attempt.trace();
            trace.endedAt = Math.min(trace.endedAt, System.nanoTime());
            if (worker.cancelsQueuedAttempts() || !worker.isAlive()) {
                trace.waitEndedAt = Math.min(trace.waitEndedAt, System.nanoTime());
            }
            attempt.connectionEnded();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
        context.close();
    }
}
