package sorrelhoist.protocol.grpc;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http2.ErrorCode;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Stream;
import sorrelhoist.protocol.http2.StreamListener;

/** One call at its calling side. Every method is to be called on its channel's event loop. */
public final class ClientCall implements StreamListener {
    /** How a call came to its end. */
    public enum End {
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

    /** What the caller is told, on the channel's event loop. */
    public interface Listener {
        /**
         * The server's first header list came.
         *
         * @param call the call
         * @param headers the fields
         */
        default void headers(ClientCall call, Headers headers) {}

        /**
         * A message came. {@link ClientCall#credit} gives the server leave to send as much again.
         *
         * @param call the call
         * @param message the message
         * @param wireBytes what it took on the wire and is not yet credited
         */
        void message(ClientCall call, byte[] message, int wireBytes);

        /**
         * The call is over; told once, and nothing after it.
         *
         * @param call the call
         * @param status the server's, or what stands for it
         * @param trailers the server's; empty where none came
         * @param end how it came about
         */
        void closed(ClientCall call, Status status, Headers trailers, End end);
    }

    private final String path;
    private final Headers metadata;
    private final Listener listener;
    private final MessageReader reader;
    private final ArrayDeque<byte[]> unsent = new ArrayDeque<>(1);
    private boolean halfClosed;
    private Http2Stream stream;
    private boolean closed;
    private boolean answered;
    private int early;

    /**
     * Makes a call; {@link GrpcChannel#start} starts it.
     *
     * @param path /package.Service/Method
     * @param metadata further fields, grpc-timeout among them, or null
     * @param maxMessage bytes that one message of the server's may have
     * @param listener who is told
     */
    public ClientCall(String path, Headers metadata, int maxMessage, Listener listener) {
        this.path = path;
        this.metadata = metadata;
        this.listener = listener;
        this.reader = new MessageReader(maxMessage);
    }

    /** Sends a message, at once or when the call has a stream. */
    public void send(byte[] message) {
        if (closed) {
            return;
        }
        if (stream == null) {
            unsent.add(message);
        } else {
            stream.data(GrpcServer.framed(message), false);
        }
    }

    /** Sends a message and says that no more follow. */
    public void sendLast(byte[] message) {
        if (stream == null) {
            unsent.add(message);
            halfClosed = true;
        } else if (!closed) {
            halfClosed = true;
            stream.data(GrpcServer.framed(message), true);
        }
    }

    /** Says that no more messages follow. */
    public void halfClose() {
        if (!halfClosed && stream != null) {
            stream.data(io.netty.buffer.Unpooled.EMPTY_BUFFER, true);
        }
        halfClosed = true;
    }

    /** Gives up waiting: the server is told, the listener too. */
    public void cancel() {
        if (!closed) {
            if (stream != null) {
                stream.reset(ErrorCode.CANCEL);
            }
            close(new Status(Code.CANCELLED, "cancelled here"), new Headers(), End.CANCELLED);
        }
    }

    /** {@return whether the listener was told of the end} */
    public boolean isClosed() {
        return closed;
    }

    /** {@return whether the call has a stream, so that the server may know of it} */
    public boolean isSent() {
        return stream != null;
    }

    /** Gives the server credit for bytes that were taken. */
    public void credit(int wireBytes) {
        if (stream != null) {
            stream.consumed(wireBytes);
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
        stream = connection.open(headers, false, this);
        if (stream == null) {
            return false;
        }
        while (!unsent.isEmpty()) {
            byte[] next = unsent.poll();
            stream.data(GrpcServer.framed(next), halfClosed && unsent.isEmpty());
        }
        return true;
    }

    void notSent(String why) {
        close(new Status(Code.UNAVAILABLE, why), new Headers(), End.NOT_SENT);
    }

    private void close(Status status, Headers trailers, End end) {
        if (!closed) {
            closed = true;
            listener.closed(this, status, trailers, end);
        }
    }

    private void breakOff(Code code, String why) {
        stream.reset(ErrorCode.PROTOCOL_ERROR);
        close(new Status(code, why), new Headers(), End.BROKEN);
    }

    @Override
    public void headers(Headers headers, boolean end) {
        if (closed) {
            return;
        }
        if (!answered) {
            answered = true;
            if (!"200".equals(headers.get(":status"))) {
                breakOff(Code.UNKNOWN, "HTTP status " + headers.get(":status"));
                return;
            }
            listener.headers(this, headers);
        }
        if (!end) {
            return;
        }
        String status = headers.get("grpc-status");
        if (status == null) {
            breakOff(Code.UNKNOWN, "the call ended without grpc-status");
        } else if (reader.isPartial()) {
            breakOff(Code.INTERNAL, "the call ended in the middle of a message");
        } else {
            close(
                    new Status(
                            Code.parse(status), Status.decodeMessage(headers.get("grpc-message"))),
                    headers,
                    End.STATUS);
            if (!stream.isHalfClosed()) {
                // The answer came before all was sent: what is left has no reader. A stream that
                // has ended on both
                // sides needs no reset, and servers count resets.
                stream.reset(ErrorCode.CANCEL);
            }
        }
    }

    @Override
    public void data(ByteBuf data, boolean end) {
        Status bad =
                reader.read(
                        data,
                        (message, wireBytes) -> {
                            int owed = wireBytes - early;
                            early = 0;
                            if (!closed) {
                                listener.message(this, message, owed);
                            }
                        });
        if (closed) {
            return;
        }
        if (bad != null) {
            breakOff(bad.code(), bad.message());
        } else if (end) {
            breakOff(Code.UNKNOWN, "the call ended without trailers");
        } else if (reader.partialBytes() > early) {
            // A message may be longer than the window: its beginning is credited before it is
            // whole.
            stream.consumed(reader.partialBytes() - early);
            early = reader.partialBytes();
        }
    }

    @Override
    public void reset(ErrorCode code, boolean unprocessed, String why) {
        if (unprocessed) {
            close(new Status(Code.UNAVAILABLE, why), new Headers(), End.UNPROCESSED);
        } else {
            close(new Status(Code.UNAVAILABLE, why), new Headers(), End.BROKEN);
        }
    }
}
