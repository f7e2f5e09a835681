package sorrelhoist.protocol.http2;

/**
 * Finds the stream of a frame, and decides how frames for streams that are not open are handled.
 */
final class StreamLookup {
    private final StreamTable streams;
    private final FrameRateLimiter rateLimiter;

    StreamLookup(StreamTable streams, FrameRateLimiter rateLimiter) {
        this.streams = streams;
        this.rateLimiter = rateLimiter;
    }

    /**
     * Finds the stream of a frame that requires an open stream.
     *
     * @param streamId ID of the frame's stream
     * @param frame the frame type, for error messages
     * @return the stream, or null if the frame is ignored because this side has reset the stream
     */
    Http2Stream find(int streamId, String frame) throws Http2Exception {
        Http2Stream stream = streams.get(streamId);
        if (stream != null) {
            return stream;
        }
        requireNotIdle(streamId, frame);
        String violation = frame + " on a stream that has ended";
        rateLimiter.charge(FrameRateLimiter.CLOSED_STREAM_COST, violation);
        if (!streams.wasResetLocally(streamId)) {
            throw Http2Exception.stream(ErrorCode.STREAM_CLOSED, streamId, violation);
        }
        return null;
    }

    /**
     * Finds the stream of a frame that is allowed on a closed stream.
     *
     * @param streamId ID of the frame's stream
     * @param frame the frame type, for error messages
     * @return the stream, or null if it is closed
     */
    Http2Stream findOrEnded(int streamId, String frame) throws Http2Exception {
        requireNotIdle(streamId, frame);
        Http2Stream stream = streams.get(streamId);
        if (stream == null) {
            rateLimiter.charge(FrameRateLimiter.CLOSED_STREAM_CONTROL_FRAME_COST, frame);
        }
        return stream;
    }

    private void requireNotIdle(int streamId, String frame) throws Http2Exception {
        if (streams.isIdle(streamId)) {
            throw Http2Exception.connection(
                    ErrorCode.PROTOCOL_ERROR, frame + " on a stream that was never opened");
        }
    }
}
