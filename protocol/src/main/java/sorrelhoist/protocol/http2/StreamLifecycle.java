package sorrelhoist.protocol.http2;

import sorrelhoist.protocol.hpack.Headers;

/**
 * Manages the transitions of streams from open through half-closed to closed (RFC 9113 section
 * 5.1).
 */
final class StreamLifecycle {
    private final boolean server;
    private final StreamTable streams;
    private final FrameWriter writer;
    private final Runnable onStreamClosed;

    /**
     * Creates the lifecycle management for the streams of one connection.
     *
     * @param server whether this side is the server
     * @param streams the connection's streams
     * @param writer writes HEADERS and RST_STREAM
     * @param onStreamClosed run after a stream is closed
     */
    StreamLifecycle(
            boolean server, StreamTable streams, FrameWriter writer, Runnable onStreamClosed) {
        this.server = server;
        this.streams = streams;
        this.writer = writer;
        this.onStreamClosed = onStreamClosed;
    }

    /** Writes a header list, and ends this side of the stream if {@code endStream} is set. */
    void writeHeaders(Http2Stream stream, Headers headers, boolean endStream) {
        writer.headers(stream.id(), headers, endStream);
        if (endStream) {
            endLocal(stream);
        }
    }

    /** Ends this side of the stream after END_STREAM was sent. */
    void endLocal(Http2Stream stream) {
        stream.endLocal();
        if (stream.isRemoteEnded()) {
            close(stream);
        } else if (server) {
            // The answer is complete; the rest of the request is not needed (section 8.1).
            reset(stream, ErrorCode.NO_ERROR);
        }
    }

    /** Closes the stream if both sides have ended it. */
    void closeIfBothEnded(Http2Stream stream) {
        if (stream.isRemoteEnded() && stream.isHalfClosed()) {
            close(stream);
        }
    }

    /** Closes a stream and sends RST_STREAM; its listener is not notified. */
    void reset(Http2Stream stream, ErrorCode code) {
        close(stream);
        sendReset(stream.id(), code);
    }

    private void sendReset(int streamId, ErrorCode code) {
        streams.rememberReset(streamId);
        writer.rstStream(streamId, code);
    }

    /** Closes a stream without sending a frame. */
    void close(Http2Stream stream) {
        if (streams.remove(stream)) {
            stream.close();
            onStreamClosed.run();
        }
    }

    /** Resets the stream of a stream error and notifies its listener. The connection stays open. */
    void onStreamError(Http2Exception error) {
        Http2Stream stream = streams.get(error.stream());
        if (stream == null) {
            sendReset(error.stream(), error.code());
            return;
        }
        Http2StreamListener listener = stream.listener();
        reset(stream, error.code());
        if (listener != null) {
            listener.onReset(error.code(), false, error.getMessage());
        }
    }

    /**
     * Closes the streams above the last one that the peer processes (section 6.8), and notifies
     * their listeners.
     */
    void closeUnprocessed(int lastStreamId, ErrorCode code) {
        for (Http2Stream stream : streams.snapshot()) {
            if (stream.id() > lastStreamId) {
                close(stream);
                stream.listener()
                        .onReset(
                                ErrorCode.REFUSED_STREAM,
                                true,
                                "the peer took no more streams: " + code);
            }
        }
    }

    /** Closes all streams when the connection is closed, and notifies their listeners. */
    void closeAll(ErrorCode code, String reason) {
        for (Http2Stream stream : streams.snapshot()) {
            close(stream);
            if (stream.listener() != null) {
                stream.listener().onReset(code, false, reason);
            }
        }
    }
}
