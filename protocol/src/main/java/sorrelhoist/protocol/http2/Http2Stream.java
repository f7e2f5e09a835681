package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import sorrelhoist.protocol.hpack.Headers;

/** One stream of a connection. Every method is to be called on the connection's event loop. */
public final class Http2Stream {
    /** {@link Http2StreamListener#onWritable} is told when no more than this waits. */
    static final int LOW_MARK = 8 << 10;

    final Http2Connection connection;
    final int id;
    Http2StreamListener listener;
    long sendWindow;
    long receiveWindow;
    int owed;
    boolean remoteEnded;
    boolean localEnded;
    boolean closed;
    boolean queued;
    boolean headersSeen;
    long movedAt;
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>(2);
    private int waitingBytes;
    private boolean wasHigh;
    private boolean endAsked;
    private Headers trailers;

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
        return waitingBytes;
    }

    /**
     * Sends a header list: the first one at once, a later one as trailers, behind all data.
     *
     * @param headers the fields
     * @param end whether this side ends with it; trailers always do
     */
    public void writeHeaders(Headers headers, boolean end) {
        if (closed || endAsked) {
            return;
        }
        if (end && waitingBytes > 0) {
            endAsked = true;
            trailers = headers;
        } else {
            endAsked |= end;
            connection.writeHeaders(this, headers, end);
        }
    }

    /**
     * Sends data as windows allow.
     *
     * @param data released in any case
     * @param end whether this side ends with it
     */
    public void writeData(ByteBuf data, boolean end) {
        if (closed || endAsked) {
            data.release();
            return;
        }
        waitingBytes += data.readableBytes();
        wasHigh |= waitingBytes > LOW_MARK;
        endAsked |= end;
        if (data.isReadable() || end) {
            waiting.add(data);
            connection.enqueue(this);
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
            owed += bytes;
            connection.creditStream(this);
        }
    }

    /**
     * Ends the stream at once; the listener is told nothing more.
     *
     * @param code what the peer is told
     */
    public void reset(ErrorCode code) {
        if (!closed) {
            connection.resetStream(this, code);
        }
    }

    /** {@return whether this side's END_STREAM was sent} */
    public boolean isHalfClosed() {
        return localEnded;
    }

    boolean isEnding() {
        return endAsked;
    }

    boolean hasWork() {
        return !waiting.isEmpty();
    }

    /** The next bytes of a data frame; fewer than asked for only where no more wait. */
    ByteBuf take(int most) {
        ByteBuf first = waiting.peek();
        int size = Math.min(most, waitingBytes);
        ByteBuf taken;
        if (first.readableBytes() == size) {
            taken = waiting.poll();
        } else if (first.readableBytes() > size) {
            taken = first.readRetainedSlice(size);
        } else {
            taken = connection.allocate(size);
            while (taken.readableBytes() < size) {
                ByteBuf next = waiting.peek();
                int part = Math.min(next.readableBytes(), size - taken.readableBytes());
                taken.writeBytes(next, part);
                if (!next.isReadable()) {
                    waiting.poll().release();
                }
            }
        }
        while (!waiting.isEmpty() && !waiting.peek().isReadable()) {
            waiting.poll().release();
        }
        waitingBytes -= size;
        return taken;
    }

    /**
     * Whether the frame being taken ends this side; trailers follow instead where there are any.
     */
    boolean endsNow() {
        return endAsked && waiting.isEmpty() && trailers == null;
    }

    Headers trailersNow() {
        Headers due = waiting.isEmpty() ? trailers : null;
        trailers = due == null ? trailers : null;
        return due;
    }

    boolean fellLow() {
        boolean fell = wasHigh && waitingBytes <= LOW_MARK;
        wasHigh &= !fell;
        return fell;
    }

    void drop() {
        closed = true;
        waiting.forEach(ByteBuf::release);
        waiting.clear();
        waitingBytes = 0;
        trailers = null;
    }
}
