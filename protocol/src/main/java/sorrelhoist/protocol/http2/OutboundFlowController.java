package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.concurrent.TimeUnit;
import sorrelhoist.protocol.hpack.Headers;

/**
 * Sends the data of all streams within the peer's flow-control windows, while the socket is
 * writable. Streams are scheduled round-robin with a limited number of bytes per turn, so that none
 * starves another.
 */
final class OutboundFlowController {
    private static final int MAX_BYTES_PER_TURN = 4 << 10;

    private final ConnectionChannel channel;
    private final FrameWriter writer;
    private final RemoteSettings remote;
    private final StreamLifecycle lifecycle;
    private final FrameRateLimiter rateLimiter;
    private final ArrayDeque<Http2Stream> scheduledStreams = new ArrayDeque<>();
    private final long stallTimeoutNanos;
    private final EventLoopTimer stallTimer;
    private long connectionWindow = Frames.DEFAULT_WINDOW_SIZE;

    /**
     * Creates the controller.
     *
     * @param channel the channel, which shows whether the socket is writable
     * @param writer writes DATA
     * @param remote the peer's settings, which limit the frame size
     * @param lifecycle closes streams whose data has been sent
     * @param rateLimiter credited for each frame sent
     * @param stallTimeoutMicros time for which a peer may leave the rest of a complete answer
     *     unread, in microseconds
     */
    OutboundFlowController(
            ConnectionChannel channel,
            FrameWriter writer,
            RemoteSettings remote,
            StreamLifecycle lifecycle,
            FrameRateLimiter rateLimiter,
            long stallTimeoutMicros) {
        this.channel = channel;
        this.writer = writer;
        this.remote = remote;
        this.lifecycle = lifecycle;
        this.rateLimiter = rateLimiter;
        this.stallTimeoutNanos = TimeUnit.MICROSECONDS.toNanos(stallTimeoutMicros);
        this.stallTimer = new EventLoopTimer(channel, stallTimeoutMicros, this::resetStalled);
    }

    /** Queues a stream that has data to send, and sends as much as possible. */
    void schedule(Http2Stream stream) {
        if (!stream.isScheduled()) {
            stream.scheduled(true);
            stream.recordProgress(System.nanoTime());
            scheduledStreams.add(stream);
            armStallTimer();
        }
        writePending();
    }

    /** Increases the connection's window after a WINDOW_UPDATE from the peer. */
    void growConnectionWindow(int increment) throws Http2Exception {
        connectionWindow += increment;
        if (connectionWindow > Frames.MAX_WINDOW_SIZE) {
            throw Http2Exception.connection(
                    ErrorCode.FLOW_CONTROL_ERROR, "the connection's window over 2^31 - 1");
        }
    }

    /**
     * Sends one frame per stream in round-robin order, until all streams are blocked by flow
     * control or the socket is not writable.
     */
    void writePending() {
        int blockedInARow = 0;
        while (!scheduledStreams.isEmpty()
                && blockedInARow < scheduledStreams.size()
                && channel.isWritable()) {
            Http2Stream stream = scheduledStreams.poll();
            if (stream.isClosed() || !stream.hasPendingData()) {
                stream.scheduled(false);
                continue;
            }
            int maxBytes = maxBytesOf(stream);
            if (maxBytes <= 0 && stream.pendingBytes() > 0) {
                scheduledStreams.add(stream);
                blockedInARow++;
                continue;
            }
            blockedInARow = 0;
            stream.recordProgress(System.nanoTime());
            writeData(stream, Math.max(0, maxBytes));
            afterTurn(stream);
        }
    }

    private int maxBytesOf(Http2Stream stream) {
        long window = Math.min(connectionWindow, stream.sendWindow());
        return (int) Math.min(window, Math.min(MAX_BYTES_PER_TURN, remote.maxFrameSize()));
    }

    private void afterTurn(Http2Stream stream) {
        if (!stream.isClosed() && stream.hasPendingData()) {
            scheduledStreams.add(stream);
        } else {
            stream.scheduled(false);
        }
        if (!stream.isClosed() && stream.fellBelowLowWaterMark()) {
            stream.listener().onWritable();
        }
    }

    private void writeData(Http2Stream stream, int maxBytes) {
        ByteBuf payload = stream.pollData(channel.allocator(), maxBytes);
        int size = payload.readableBytes();
        connectionWindow -= size;
        stream.changeSendWindow(-size);
        rateLimiter.dataSent();
        boolean endStream = stream.endsWithLastData();
        writer.data(stream.id(), payload, endStream);
        if (endStream) {
            lifecycle.endLocal(stream);
            return;
        }
        Headers trailers = stream.pollTrailers();
        if (trailers != null) {
            lifecycle.writeHeaders(stream, trailers, true);
        }
    }

    /** Discards all scheduled streams when the connection is closed. */
    void clear() {
        scheduledStreams.clear();
    }

    private void armStallTimer() {
        if (!channel.isClosing()) {
            stallTimer.arm();
        }
    }

    /**
     * Resets streams whose complete answer the peer does not read, because its window is zero or it
     * does not read the socket; otherwise the answer would stay buffered for as long as the peer
     * chooses. Streams whose user is still writing are left to that user.
     */
    private void resetStalled() {
        long stalledBeforeNanos = System.nanoTime() - stallTimeoutNanos;
        for (Http2Stream stream : new ArrayList<>(scheduledStreams)) {
            if (!stream.isClosed()
                    && stream.isEndRequested()
                    && stream.lastProgressNanos() <= stalledBeforeNanos) {
                Http2StreamListener listener = stream.listener();
                lifecycle.reset(stream, ErrorCode.CANCEL);
                listener.onReset(
                        ErrorCode.CANCEL, false, "the peer did not take the end of its answer");
            }
        }
        if (!scheduledStreams.isEmpty()) {
            armStallTimer();
        }
    }
}
