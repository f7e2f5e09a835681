package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import sorrelhoist.protocol.hpack.Headers;

/**
 * One stream of a connection: its state, its flow-control windows and its send queue. All methods
 * must be called on the connection's event loop.
 */
public final class Http2Stream {
    private final Http2Connection connection;
    private final int id;
    private final SendQueue sendQueue = new SendQueue();
    private Http2StreamListener listener;

    private boolean remoteEnded;
    private boolean localEnded;
    private boolean closed;
    private boolean headersReceived;
    private boolean endRequested;
    private Headers pendingTrailers;

    private long sendWindow;
    private long receiveWindow;
    private int uncreditedBytes;

    private boolean scheduled;
    private long lastProgressNanos;

    Http2Stream(Http2Connection connection, int id, long sendWindow, long receiveWindow) {
        this.connection = connection;
        this.id = id;
        this.sendWindow = sendWindow;
        this.receiveWindow = receiveWindow;
    }

    /** {@return the stream's ID} */
    public int id() {
        return id;
    }

    /** {@return the stream's connection} */
    public Http2Connection connection() {
        return connection;
    }

    /** {@return whether the stream is closed, so that nothing can be sent or received} */
    public boolean isClosed() {
        return closed;
    }

    /** {@return the number of bytes that wait for flow control or for the socket} */
    public int pendingBytes() {
        return sendQueue.bytes();
    }

    /** {@return whether this side has sent END_STREAM} */
    public boolean isHalfClosed() {
        return localEnded;
    }

    /**
     * Sends a header list. Trailers (a list with {@code endStream}) are sent after all queued data,
     * any other list immediately.
     *
     * @param headers the header fields
     * @param endStream whether the list ends this side of the stream; required for trailers
     */
    public void writeHeaders(Headers headers, boolean endStream) {
        if (closed || endRequested) {
            return;
        }
        if (endStream && sendQueue.bytes() > 0) {
            endRequested = true;
            pendingTrailers = headers;
        } else {
            endRequested |= endStream;
            connection.writeHeaders(this, headers, endStream);
        }
    }

    /**
     * Queues data and sends it as the flow-control windows allow.
     *
     * @param data the data, whose ownership is transferred
     * @param endStream whether the data ends this side of the stream
     */
    public void writeData(ByteBuf data, boolean endStream) {
        if (closed || endRequested) {
            data.release();
            return;
        }
        endRequested |= endStream;
        if (data.isReadable() || endStream) {
            sendQueue.add(data);
            connection.scheduleData(this);
        } else {
            data.release();
        }
    }

    /**
     * Returns flow-control credit to the peer for processed bytes from {@link
     * Http2StreamListener#onData}.
     *
     * @param bytes number of processed bytes
     */
    public void consumeBytes(int bytes) {
        if (!closed && !remoteEnded) {
            uncreditedBytes += bytes;
            connection.returnCredit(this);
        }
    }

    /**
     * Resets the stream. The listener receives no more events.
     *
     * @param code the error code sent to the peer
     */
    public void reset(ErrorCode code) {
        if (!closed) {
            connection.resetStream(this, code);
        }
    }

    // ---- Listener and state

    Http2StreamListener listener() {
        return listener;
    }

    void listener(Http2StreamListener newListener) {
        listener = newListener;
    }

    boolean isRemoteEnded() {
        return remoteEnded;
    }

    void endRemote() {
        remoteEnded = true;
    }

    void endLocal() {
        localEnded = true;
    }

    boolean areHeadersReceived() {
        return headersReceived;
    }

    void headersReceived() {
        headersReceived = true;
    }

    /** Marks the stream as closed and releases its queued data. */
    void close() {
        closed = true;
        sendQueue.release();
        pendingTrailers = null;
    }

    // ---- Receive window

    /** Deducts received bytes from the receive window. {@return whether they fit into it} */
    boolean reduceReceiveWindow(int bytes) {
        receiveWindow -= bytes;
        return receiveWindow >= 0;
    }

    /** Adds received bytes that no user will consume (padding) to the bytes to be credited. */
    void addUncreditedBytes(int bytes) {
        uncreditedBytes += bytes;
    }

    int uncreditedBytes() {
        return uncreditedBytes;
    }

    /**
     * Restores all uncredited bytes to the receive window. {@return the number of bytes to credit}
     */
    int creditBytes() {
        int credited = uncreditedBytes;
        receiveWindow += credited;
        uncreditedBytes = 0;
        return credited;
    }

    // ---- Send window and queue

    long sendWindow() {
        return sendWindow;
    }

    /**
     * Changes the send window by a number of bytes. {@return whether it is within the maximum of
     * RFC 9113}
     */
    boolean changeSendWindow(long change) {
        sendWindow += change;
        return sendWindow <= Frames.MAX_WINDOW_SIZE;
    }

    boolean isScheduled() {
        return scheduled;
    }

    void scheduled(boolean isScheduled) {
        scheduled = isScheduled;
    }

    long lastProgressNanos() {
        return lastProgressNanos;
    }

    void recordProgress(long nanos) {
        lastProgressNanos = nanos;
    }

    /** {@return whether the user has written everything that this side will send} */
    boolean isEndRequested() {
        return endRequested;
    }

    boolean hasPendingData() {
        return !sendQueue.isEmpty();
    }

    ByteBuf pollData(ByteBufAllocator allocator, int maxBytes) {
        return sendQueue.poll(allocator, maxBytes);
    }

    boolean fellBelowLowWaterMark() {
        return sendQueue.fellBelowLowWaterMark();
    }

    /** {@return whether the frame with the last polled data has to carry END_STREAM} */
    boolean endsWithLastData() {
        return endRequested && sendQueue.isEmpty() && pendingTrailers == null;
    }

    /** {@return the pending trailers if all data has been sent, otherwise null; removes them} */
    Headers pollTrailers() {
        if (!sendQueue.isEmpty()) {
            return null;
        }
        Headers trailers = pendingTrailers;
        pendingTrailers = null;
        return trailers;
    }
}
