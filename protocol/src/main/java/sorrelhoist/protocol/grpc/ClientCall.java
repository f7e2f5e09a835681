package sorrelhoist.protocol.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http2.ErrorCode;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Stream;
import sorrelhoist.protocol.http2.Http2StreamListener;

/**
 * The client side of one call. All methods must be called on the event loop of the call's channel.
 */
public final class ClientCall implements Http2StreamListener {
    /** How a call ended. */
    public enum Termination {
        /** The server closed the call with a status. */
        STATUS,
        /** The stream or its connection broke; the server may have processed the call. */
        BROKEN,
        /**
         * The server reported that it did not process the call: it sent REFUSED_STREAM, or a GOAWAY
         * whose last stream ID is below the call's stream.
         */
        UNPROCESSED,
        /** No connection could be established; nothing was sent. */
        NOT_SENT,
        /** The client cancelled the call. */
        CANCELLED
    }

    /** Receives the events of a call, on the channel's event loop. */
    public interface Listener {
        /**
         * Called when the server's first header list arrives.
         *
         * @param call the call
         * @param headers the header fields
         */
        default void onHeaders(ClientCall call, Headers headers) {}

        /**
         * Called when a message arrives. The listener returns its flow-control credit to the server
         * with {@link ClientCall#consumeBytes}.
         *
         * @param call the call
         * @param message the message
         * @param wireBytes the message's size on the wire, in bytes, minus what was credited
         *     already
         */
        void onMessage(ClientCall call, byte[] message, int wireBytes);

        /**
         * Called once, when the call ends; no other event follows.
         *
         * @param call the call
         * @param status the server's status, or a locally created one if the server sent none
         * @param trailers the server's trailers; empty if none arrived
         * @param termination how the call ended
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

    /** Bytes of the incomplete message whose credit was already returned to the server. */
    private int creditedBytes;

    /**
     * Creates a call that {@link GrpcChannel#start} starts.
     *
     * @param path the method's path, /package.Service/Method
     * @param metadata additional header fields, such as grpc-timeout, or null
     * @param maxMessageBytes maximum size of one message from the server, in bytes
     * @param listener receives the call's events
     */
    public ClientCall(String path, Headers metadata, int maxMessageBytes, Listener listener) {
        this.path = path;
        this.metadata = metadata;
        this.listener = listener;
        this.deframer = new MessageDeframer(maxMessageBytes);
    }

    /** Sends a message, or queues it until the call has a stream. */
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

    /** Sends the last message and closes the sending side of the call. */
    public void sendLast(byte[] message) {
        if (stream == null) {
            pendingMessages.add(message);
            halfClosed = true;
        } else if (!closed) {
            halfClosed = true;
            stream.writeData(MessageFramer.frame(message), true);
        }
    }

    /** Closes the sending side of the call: no more messages follow. */
    public void halfClose() {
        if (!halfClosed && stream != null) {
            stream.writeData(Unpooled.EMPTY_BUFFER, true);
        }
        halfClosed = true;
    }

    /** Cancels the call and notifies the server and the listener. */
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

    /** {@return whether the listener was notified of the call's end} */
    public boolean isClosed() {
        return closed;
    }

    /** {@return whether the call has a stream, so that the server may have received it} */
    public boolean isSent() {
        return stream != null;
    }

    /** Returns flow-control credit for processed bytes to the server. */
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
                // The server answered before the client had sent everything and reads no more. A
                // stream that
                // has ended on both sides is not reset, because servers count resets.
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

    /**
     * Returns credit for the received part of an incomplete message: a message may be longer than
     * the flow-control window.
     */
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
