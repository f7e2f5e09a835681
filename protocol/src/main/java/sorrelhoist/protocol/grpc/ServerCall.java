package sorrelhoist.protocol.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.EventExecutor;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http2.ErrorCode;
import sorrelhoist.protocol.http2.Http2Stream;
import sorrelhoist.protocol.http2.Http2StreamListener;

/** One call at its serving side. Every method is to be called on {@link #executor}. */
public final class ServerCall implements Http2StreamListener {
    /** Events for the method's implementation, on the call's executor. */
    public interface Listener {
        /** A message of the client's. */
        void onMessage(byte[] message);

        /** The client sends no more. */
        default void onHalfClose() {}

        /** The call is over before it was closed here: the client left, or its connection broke. */
        default void onCancel(String reason) {}

        /** So few bytes wait for the client that more can be sent. */
        default void onReady() {}
    }

    private final Http2Stream stream;
    private final Headers headers;
    private final long timeoutMicros;
    private final MessageDeframer deframer;
    private Listener listener;
    private boolean headersSent;
    private boolean closed;

    ServerCall(Http2Stream stream, Headers headers, long timeoutMicros, int maxMessageBytes) {
        this.stream = stream;
        this.headers = headers;
        this.timeoutMicros = timeoutMicros;
        this.deframer = new MessageDeframer(maxMessageBytes);
    }

    void listener(Listener newListener) {
        listener = newListener;
    }

    /** {@return the path: /package.Service/Method} */
    public String path() {
        return headers.get(":path");
    }

    /** {@return what the client sent ahead of its messages} */
    public Headers headers() {
        return headers;
    }

    /** {@return the client's grpc-timeout in microseconds, or {@link GrpcTimeout#NONE}} */
    public long timeoutMicros() {
        return timeoutMicros;
    }

    /** {@return the event loop of this call} */
    public EventExecutor executor() {
        return stream.connection().executor();
    }

    /** {@return bytes that wait for the client} */
    public int pendingBytes() {
        return stream.pendingBytes();
    }

    /** {@return whether nothing more can be sent} */
    public boolean isClosed() {
        return closed || stream.isClosed();
    }

    /** Sends a message. */
    public void send(byte[] message) {
        if (isClosed()) {
            return;
        }
        if (!headersSent) {
            headersSent = true;
            stream.writeHeaders(responseHeaders(), false);
        }
        stream.writeData(MessageFramer.frame(message), false);
    }

    /**
     * Ends the call; nothing is sent after it.
     *
     * @param status how
     * @param trailers further fields, or null
     */
    public void close(Status status, Headers trailers) {
        if (isClosed()) {
            return;
        }
        closed = true;
        Headers last = headersSent ? new Headers() : responseHeaders();
        last.add("grpc-status", Integer.toString(status.code().ordinal()));
        if (!status.message().isEmpty()) {
            last.add("grpc-message", status.encodedMessage());
        }
        if (trailers != null) {
            last.addAll(trailers);
        }
        stream.writeHeaders(last, true);
    }

    private static Headers responseHeaders() {
        return new Headers().add(":status", "200").add("content-type", "application/grpc");
    }

    /**
     * Ends the call without a status: for a client that takes nothing, so that no status could
     * reach it.
     */
    public void abort() {
        closed = true;
        stream.reset(ErrorCode.CANCEL);
    }

    @Override
    public void onHeaders(Headers trailers, boolean endStream) {
        halfClosed();
    }

    @Override
    public void onData(ByteBuf data, boolean endStream) {
        stream.consumeBytes(data.readableBytes());
        if (closed) {
            return;
        }
        Status error =
                deframer.read(
                        data,
                        (message, wireBytes) -> {
                            if (!closed) {
                                listener.onMessage(message);
                            }
                        });
        if (error == null && endStream && deframer.isPartial()) {
            error = new Status(StatusCode.INVALID_ARGUMENT, "the last message is cut short");
        }
        if (error != null) {
            close(error, null);
            listener.onCancel(error.message());
        } else if (endStream) {
            halfClosed();
        }
    }

    private void halfClosed() {
        if (!closed) {
            listener.onHalfClose();
        }
    }

    @Override
    public void onReset(ErrorCode code, boolean unprocessed, String reason) {
        if (!closed) {
            closed = true;
            listener.onCancel(reason);
        }
    }

    @Override
    public void onWritable() {
        if (!closed) {
            listener.onReady();
        }
    }
}
