package sorrelhoist.protocol.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http2.ErrorCode;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Stream;
import sorrelhoist.protocol.http2.Http2StreamListener;

/** One call at its calling side. Every method is to be called on its channel's event loop. */
public final class ClientCall implements Http2StreamListener {
    /** How a call came to its end. */
    public enum Termination {
        /** The server closed it with a status. */
        STATUS,
        /** The stream or its connection broke; the server may have worked on it. */
        BROKEN,
        /**
         * The server said that it never looked at it (REFUSED_STREAM, or beyond GOAWAY's last
         * stream).
         */
        UNPROCESSED,
        /** No connection could be had; nothing was sent. */
        NOT_SENT,
        /** It was cancelled here. */
        CANCELLED
    }

    /** Events of the call, on the channel's event loop. */
    public interface Listener {
        /**
         * The server's first header list came.
         *
         * @param call the call
         * @param headers the fields
         */
        default void onHeaders(ClientCall call, Headers headers) {}

        /**
         * A message came. {@link ClientCall#consumeBytes} lets the server send as much again.
         *
         * @param call the call
         * @param message the message
         * @param wireBytes what it took on the wire and is not yet credited
         */
        void onMessage(ClientCall call, byte[] message, int wireBytes);

        /**
         * The call is over; called once, and nothing after it.
         *
         * @param call the call
         * @param status the server's, or what stands for it
         * @param trailers the server's; empty where none came
         * @param termination how it came about
         */
        void onClose(ClientCall call, Status status, Headers trailers, Termination termination);
    }

    private final String path;
    private final Headers metadata;
    private final Listener listener;
    private final MessageDeframer deframer;
    private final ArrayDeque<byte[]> pendingMessages = new ArrayDeque<>(1);
    private boolean halfClosed;
    private Http2Stream stream;
    private boolean closed;
    private boolean headersReceived;

    /** Bytes of the message that is not complete yet for which credit was given. */
    private int creditedBytes;

    /**
     * Makes a call; {@link GrpcChannel#start} starts it.
     *
     * @param path /package.Service/Method
     * @param metadata further fields, grpc-timeout among them, or null
     * @param maxMessageBytes bytes that one message of the server's may have
     * @param listener notified of its events
     */
    public ClientCall(String path, Headers metadata, int maxMessageBytes, Listener listener) {
        this.path = path;
        this.metadata = metadata;
        this.listener = listener;
        this.deframer = new MessageDeframer(maxMessageBytes);
    }

    /** Sends a message, at once or when the call has a stream. */
    public void send(byte[] message) {
        if (closed) {
            return;
        }
        if (stream == null) {
            pendingMessages.add(message);
        } else {
            stream.writeData(MessageFramer.frame(message), false);
        }
    }

    /** Sends a message and says that no more follow. */
    public void sendLast(byte[] message) {
        if (stream == null) {
            pendingMessages.add(message);
            halfClosed = true;
        } else if (!closed) {
            halfClosed = true;
            stream.writeData(MessageFramer.frame(message), true);
        }
    }

    /** Says that no more messages follow. */
    public void halfClose() {
        if (!halfClosed && stream != null) {
            stream.writeData(Unpooled.EMPTY_BUFFER, true);
        }
        halfClosed = true;
    }

    /** Cancels the call; the server and the listener are notified. */
    public void cancel() {
        if (!closed) {
            if (stream != null) {
                stream.reset(ErrorCode.CANCEL);
            }
            close(
                    new Status(StatusCode.CANCELLED, "cancelled here"),
                    new Headers(),
                    Termination.CANCELLED);
        }
    }

    /** {@return whether the listener was notified of the end} */
    public boolean isClosed() {
        return closed;
    }

    /** {@return whether the call has a stream, so that the server may know of it} */
    public boolean isSent() {
        return stream != null;
    }

    /** Gives the server credit for bytes that were taken. */
    public void consumeBytes(int wireBytes) {
        if (stream != null) {
            stream.consumeBytes(wireBytes);
        }
    }

    boolean open(Http2Connection connection, String authority) {
        Headers headers =
                new Headers()
                        .add(":method", "POST")
                        .add(":scheme", "http")
                        .add(":path", path)
                        .add(":authority", authority)
                        .add("content-type", "application/grpc")
                        .add("te", "trailers");
        if (metadata != null) {
            headers.addAll(metadata);
        }
        stream = connection.openStream(headers, false, this);
        if (stream == null) {
            return false;
        }
        while (!pendingMessages.isEmpty()) {
            byte[] next = pendingMessages.poll();
            stream.writeData(MessageFramer.frame(next), halfClosed && pendingMessages.isEmpty());
        }
        return true;
    }

    void notSent(String reason) {
        close(new Status(StatusCode.UNAVAILABLE, reason), new Headers(), Termination.NOT_SENT);
    }

    private void close(Status status, Headers trailers, Termination termination) {
        if (!closed) {
            closed = true;
            listener.onClose(this, status, trailers, termination);
        }
    }

    private void fail(StatusCode code, String reason) {
        stream.reset(ErrorCode.PROTOCOL_ERROR);
        close(new Status(code, reason), new Headers(), Termination.BROKEN);
    }

    @Override
    public void onHeaders(Headers headers, boolean endStream) {
        if (closed) {
            return;
        }
        if (!headersReceived) {
            headersReceived = true;
            if (!"200".equals(headers.get(":status"))) {
                fail(StatusCode.UNKNOWN, "HTTP status " + headers.get(":status"));
                return;
            }
            listener.onHeaders(this, headers);
        }
        if (endStream) {
            onTrailers(headers);
        }
    }

    private void onTrailers(Headers trailers) {
        String code = trailers.get("grpc-status");
        if (code == null) {
            fail(StatusCode.UNKNOWN, "the call ended without grpc-status");
        } else if (deframer.isPartial()) {
            fail(StatusCode.INTERNAL, "the call ended in the middle of a message");
        } else {
            String message = Status.decodeMessage(trailers.get("grpc-message"));
            close(new Status(StatusCode.parse(code), message), trailers, Termination.STATUS);
            if (!stream.isHalfClosed()) {
                // The answer came before all was sent: what is left has no reader. A stream that
                // has ended on both sides needs no reset, and servers count resets.
                stream.reset(ErrorCode.CANCEL);
            }
        }
    }

    @Override
    public void onData(ByteBuf data, boolean endStream) {
        Status error = deframer.read(data, this::deliver);
        if (closed) {
            return;
        }
        if (error != null) {
            fail(error.code(), error.message());
        } else if (endStream) {
            fail(StatusCode.UNKNOWN, "the call ended without trailers");
        } else {
            creditPartialMessage();
        }
    }

    private void deliver(byte[] message, int wireBytes) {
        int uncreditedBytes = wireBytes - creditedBytes;
        creditedBytes = 0;
        if (!closed) {
            listener.onMessage(this, message, uncreditedBytes);
        }
    }

    /** A message may be longer than the window: its beginning is credited before its end comes. */
    private void creditPartialMessage() {
        int partialBytes = deframer.partialBytes();
        if (partialBytes > creditedBytes) {
            stream.consumeBytes(partialBytes - creditedBytes);
            creditedBytes = partialBytes;
        }
    }

    @Override
    public void onReset(ErrorCode code, boolean unprocessed, String reason) {
        Termination termination = unprocessed ? Termination.UNPROCESSED : Termination.BROKEN;
        close(new Status(StatusCode.UNAVAILABLE, reason), new Headers(), termination);
    }
}
