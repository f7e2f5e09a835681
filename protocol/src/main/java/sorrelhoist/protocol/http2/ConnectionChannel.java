package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The channel under one connection: gathers what is written into one flush for each turn of the
 * event loop, bounds what waits in the socket's queue, and closes the channel once, with a reason.
 */
final class ConnectionChannel {
    /** Time for a peer that reads nothing to take the last frame. */
    private static final long CLOSE_TIMEOUT_SECONDS = 1;

    private final long maxOutboundBytes;
    private final Runnable onOutboundOverflow;
    private ChannelHandlerContext ctx;
    private boolean flushScheduled;
    private boolean closing;
    private String closeReason = "the peer closed the connection";

    /**
     * Creates the channel before it is attached.
     *
     * @param maxOutboundBytes bytes that may wait for the socket
     * @param onOutboundOverflow run after a flush that leaves more than that
     */
    ConnectionChannel(long maxOutboundBytes, Runnable onOutboundOverflow) {
        this.maxOutboundBytes = maxOutboundBytes;
        this.onOutboundOverflow = onOutboundOverflow;
    }

    void attach(ChannelHandlerContext context) {
        ctx = context;
    }

    boolean isAttached() {
        return ctx != null;
    }

    boolean isActive() {
        return ctx.channel().isActive();
    }

    boolean isWritable() {
        return ctx.channel().isWritable();
    }

    EventExecutor executor() {
        return ctx.executor();
    }

    ByteBufAllocator allocator() {
        return ctx.alloc();
    }

    /** Runs a task on the event loop after a delay in microseconds. */
    void schedule(Runnable task, long delayMicros) {
        ctx.executor().schedule(task, delayMicros, TimeUnit.MICROSECONDS);
    }

    /** Writes a frame, which is flushed with others at the end of the event loop's turn. */
    void write(ByteBuf frame) {
        if (!isActive()) {
            frame.release();
            return;
        }
        ctx.write(frame);
        if (!flushScheduled) {
            flushScheduled = true;
            ctx.executor().execute(this::flush);
        }
    }

    private void flush() {
        flushScheduled = false;
        ctx.flush();
        // Answers to PING and SETTINGS need no window: a peer that reads none of them must not
        // fill memory.
        ChannelOutboundBuffer queue = ctx.channel().unsafe().outboundBuffer();
        if (!closing && queue != null && queue.totalPendingWriteBytes() > maxOutboundBytes) {
            onOutboundOverflow.run();
        }
    }

    /** {@return whether the connection has ended or is about to: nothing new may begin on it} */
    boolean isClosing() {
        return closing;
    }

    /** {@return why the connection ended, for logs} */
    String closeReason() {
        return closeReason;
    }

    /** Ends the connection at once, with a last frame if the peer takes it in time. */
    void closeWith(ByteBuf lastFrame, String reason) {
        closing = true;
        closeReason = reason;
        ctx.writeAndFlush(lastFrame).addListener(ChannelFutureListener.CLOSE);
        ctx.executor().schedule(() -> ctx.close(), CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Ends the connection behind all that was written. */
    void closeAfterFlush(String reason) {
        closing = true;
        closeReason = reason;
        ctx.flush();
        ctx.executor()
                .execute(
                        () ->
                                ctx.writeAndFlush(Unpooled.EMPTY_BUFFER)
                                        .addListener(ChannelFutureListener.CLOSE));
    }

    /** Closes the channel without waiting for what was written. */
    void closeNow() {
        ctx.close();
    }

    /** Closes the channel because of an error of its transport. */
    void closeOnError(Throwable cause) {
        closeReason = String.valueOf(cause.getMessage());
        ctx.close();
    }

    /** The channel is closed. */
    void becameInactive() {
        closing = true;
    }
}
