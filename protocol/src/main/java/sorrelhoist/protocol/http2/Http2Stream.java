package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import sorrelhoist.protocol.hpack.Headers;

/**
 * One stream of a connection: its state, its two windows and what waits to be sent. Every method is
 * to be called on the connection's event loop.
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

    /** {@return the stream's number on the wire} */
    public int id() {
        return id;
    }

    /** {@return the connection that carries it} */
    public Http2Connection connection() {
        return connection;
    }

    /** {@return whether nothing more can be sent or received} */
    public boolean isClosed() {
        return closed;
    }

    /** {@return bytes that wait for windows or for the socket} */
    public int pendingBytes() {
        return sendQueue.bytes();
    }

    /** {@return whether this side's END_STREAM was sent} */
    public boolean isHalfClosed() {
        return localEnded;
    }

    /**
     * Sends a header list: the first one at once, a later one as trailers, behind all data.
     *
     * @param headers the fields
     * @param endStream whether this side ends with it; trailers always do
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
     * Sends data as windows allow.
     *
     * @param data released in any case
     * @param endStream whether this side ends with it
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
     * Gives the peer credit for bytes that were taken out of {@link Http2StreamListener#onData}.
     *
     * @param bytes how many
     */
    public void consumeBytes(int bytes) {
        if (!closed && !remoteEnded) {
            uncreditedBytes += bytes;
            connection.returnCredit(this);
        }
    }

    /**
     * Ends the stream at once; the listener is not notified any more.
     *
     * @param code sent to the peer
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

    /** The stream is over: releases all that it holds. */
    void close() {
        closed = true;
        sendQueue.release();
        pendingTrailers = null;
    }

    // ---- Receive window

    /** Takes bytes off the receive window. {@return whether they fit into it} */
    boolean reduceReceiveWindow(int bytes) {
        receiveWindow -= bytes;
        return receiveWindow >= 0;
    }

    /** Counts bytes that need no user to take them: padding. */
    void addUncreditedBytes(int bytes) {
        uncreditedBytes += bytes;
    }

    int uncreditedBytes() {
        return uncreditedBytes;
    }

    /** Puts all uncredited bytes back into the receive window. {@return how many} */
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

    /** Changes the send window. {@return whether it is still one that RFC 9113 allows} */
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

    void progressed(long nanos) {
        lastProgressNanos = nanos;
    }

    /** {@return whether all that this side sends has been written by the stream's user} */
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

    /** {@return whether the frame of the data that was polled last ends this side} */
    boolean endsWithLastData() {
        return endRequested && sendQueue.isEmpty() && pendingTrailers == null;
    }

    /** {@return trailers that are due now that all data was sent, or null} */
    Headers pollTrailers() {
        if (!sendQueue.isEmpty()) {
            return null;
        }
        Headers trailers = pendingTrailers;
        pendingTrailers = null;
        return trailers;
    }
}
