package sorrelhoist.protocol.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.EventExecutor;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http2.ErrorCode;
import sorrelhoist.protocol.http2.Http2Stream;
import sorrelhoist.protocol.http2.Http2StreamListener;

/** The server side of one call. All methods must be called on {@link #executor}. */
public final class ServerCall implements Http2StreamListener {
    /** Receives the events of a call, on the call's executor. Implemented by the method. */
    public interface Listener {
        /** Called when a message from the client is complete. */
        void onMessage(byte[] message);

        /** Called when the client has closed its sending side. */
        default void onHalfClose() {}

        /**
         * Called when the call ends before the server closed it: the client cancelled it, its
         * connection broke, or its data was invalid.
         */
        default void onCancel(String reason) {}

        /**
         * Called when the send queue has drained to its low-water mark, so that more can be sent.
         */
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

    /** {@return the client's header fields} */
    public Headers headers() {
        return headers;
    }

    /** {@return the client's grpc-timeout in microseconds, or {@link GrpcTimeout#NONE}} */
    public long timeoutMicros() {
        return timeoutMicros;
    }

    /** {@return the event loop of the call's connection} */
    public EventExecutor executor() {
        return stream.connection().executor();
    }

    /** {@return the number of bytes queued for the client} */
    public int pendingBytes() {
        return stream.pendingBytes();
    }

    /** {@return whether the call is closed, so that nothing more can be sent} */
    public boolean isClosed() {
        return closed || stream.isClosed();
    }

    /** Sends a message, preceded by the response headers if it is the first. */
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
     * Closes the call with a status; nothing can be sent afterwards.
     *
     * @param status the call's status
     * @param trailers additional trailer fields, or null
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
     * Resets the stream without sending a status. Used for a client that does not read, which a
     * status could not reach.
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
