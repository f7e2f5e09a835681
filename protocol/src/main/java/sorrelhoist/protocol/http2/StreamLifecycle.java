package sorrelhoist.protocol.http2;

import sorrelhoist.protocol.hpack.Headers;

/** Takes streams from open over half-closed to closed (RFC 9113 section 5.1). */
final class StreamLifecycle {
    private final boolean server;
    private final StreamTable streams;
    private final FrameWriter writer;
    private final Runnable onStreamClosed;

    /**
     * Creates the life cycle of one connection's streams.
     *
     * @param server whether this side serves
     * @param streams the connection's streams
     * @param writer writes header lists and resets
     * @param onStreamClosed run after each stream that is closed
     */
    StreamLifecycle(
            boolean server, StreamTable streams, FrameWriter writer, Runnable onStreamClosed) {
        this.server = server;
        this.streams = streams;
        this.writer = writer;
        this.onStreamClosed = onStreamClosed;
    }

    /** Writes a header list, and ends this side of the stream with it where it is the last. */
    void writeHeaders(Http2Stream stream, Headers headers, boolean endStream) {
        writer.headers(stream.id(), headers, endStream);
        if (endStream) {
            endLocal(stream);
        }
    }

    /** This side's END_STREAM was sent. */
    void endLocal(Http2Stream stream) {
        stream.endLocal();
        if (stream.isRemoteEnded()) {
            close(stream);
        } else if (server) {
            // The answer is complete; what the client still sends has no reader (section 8.1).
            reset(stream, ErrorCode.NO_ERROR);
        }
    }

    /** Closes a stream that both sides have ended. */
    void closeIfBothEnded(Http2Stream stream) {
        if (stream.isRemoteEnded() && stream.isHalfClosed()) {
            close(stream);
        }
    }

    /** Ends a stream with RST_STREAM; its listener is not notified. */
    void reset(Http2Stream stream, ErrorCode code) {
        close(stream);
        rejectFrames(stream.id(), code);
    }

    private void rejectFrames(int streamId, ErrorCode code) {
        streams.rememberReset(streamId);
        writer.rstStream(streamId, code);
    }

    /** Drops a stream that is over; nothing is sent. */
    void close(Http2Stream stream) {
        if (streams.remove(stream)) {
            stream.close();
            onStreamClosed.run();
        }
    }

    /** The peer broke the rules on one stream: the stream ends, the connection goes on. */
    void onStreamError(Http2Exception error) {
        Http2Stream stream = streams.get(error.stream());
        if (stream == null) {
            rejectFrames(error.stream(), error.code());
            return;
        }
        Http2StreamListener listener = stream.listener();
        reset(stream, error.code());
        if (listener != null) {
            listener.onReset(error.code(), false, error.getMessage());
        }
    }

    /** The peer will not process streams above this one (section 6.8). */
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

    /** The connection ends, and all streams with it. */
    void closeAll(ErrorCode code, String reason) {
        for (Http2Stream stream : streams.snapshot()) {
            close(stream);
            if (stream.listener() != null) {
                stream.listener().onReset(code, false, reason);
            }
        }
    }
}
