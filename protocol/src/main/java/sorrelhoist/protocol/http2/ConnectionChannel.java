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
 * Wraps the Netty channel of one connection: batches writes into one flush per event-loop
 * iteration, limits the outbound buffer, and records the reason for which the channel is closed.
 */
final class ConnectionChannel {
    /** Time allowed for sending the last frame to a peer that does not read. */
    private static final long CLOSE_TIMEOUT_SECONDS = 1;

    private final long maxOutboundBytes;
    private final Runnable onOutboundOverflow;
    private ChannelHandlerContext ctx;
    private boolean flushScheduled;
    private boolean closing;
    private String closeReason = "the peer closed the connection";

    /**
     * Creates a channel that is not attached yet.
     *
     * @param maxOutboundBytes maximum number of bytes in the outbound buffer
     * @param onOutboundOverflow run after a flush that leaves more bytes than the maximum
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

    /**
     * Writes a frame and takes ownership of it. Frames are flushed together by a task that runs
     * later on the event loop.
     */
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
        // Replies to PING and SETTINGS are not flow-controlled: a peer that does not read them must
        // not
        // exhaust memory.
        ChannelOutboundBuffer queue = ctx.channel().unsafe().outboundBuffer();
        if (!closing && queue != null && queue.totalPendingWriteBytes() > maxOutboundBytes) {
            onOutboundOverflow.run();
        }
    }

    /**
     * {@return whether the connection is closing or closed, so that no new streams may be opened}
     */
    boolean isClosing() {
        return closing;
    }

    /** {@return the reason for which the connection was closed, for logs} */
    String closeReason() {
        return closeReason;
    }

    /**
     * Closes the connection after a last frame, or after {@link #CLOSE_TIMEOUT_SECONDS} if the peer
     * does not read it.
     */
    void closeWith(ByteBuf lastFrame, String reason) {
        closing = true;
        closeReason = reason;
        ctx.writeAndFlush(lastFrame).addListener(ChannelFutureListener.CLOSE);
        ctx.executor().schedule(() -> ctx.close(), CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Closes the connection after all pending writes. */
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

    /** Closes the channel without waiting for pending writes. */
    void closeNow() {
        ctx.close();
    }

    /** Closes the channel after a transport error. */
    void closeOnError(Throwable cause) {
        closeReason = String.valueOf(cause.getMessage());
        ctx.close();
    }

    /** Called when the channel has been closed. */
    void markClosed() {
        closing = true;
    }
}
