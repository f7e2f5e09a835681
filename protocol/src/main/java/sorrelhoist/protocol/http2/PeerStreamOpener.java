package sorrelhoist.protocol.http2;

import java.util.function.IntFunction;
import sorrelhoist.protocol.hpack.Headers;

/** Opens or refuses the streams that a client requests. */
final class PeerStreamOpener {
    private final int maxStreams;
    private final Http2Connection.StreamAcceptor acceptor;
    private final IntFunction<Http2Stream> streamFactory;
    private final StreamTable streams;
    private final StreamLifecycle lifecycle;
    private final GracefulShutdown shutdown;
    private final FrameRateLimiter rateLimiter;

    /**
     * Creates the opener.
     *
     * @param maxStreams maximum number of streams that a client may have open at once
     * @param acceptor accepts the streams
     * @param streamFactory creates a stream from its ID
     * @param streams the connection's streams
     * @param lifecycle closes streams that the acceptor answers immediately
     * @param shutdown determines whether new streams are refused
     * @param rateLimiter limits refused streams
     */
    PeerStreamOpener(
            int maxStreams,
            Http2Connection.StreamAcceptor acceptor,
            IntFunction<Http2Stream> streamFactory,
            StreamTable streams,
            StreamLifecycle lifecycle,
            GracefulShutdown shutdown,
            FrameRateLimiter rateLimiter) {
        this.maxStreams = maxStreams;
        this.acceptor = acceptor;
        this.streamFactory = streamFactory;
        this.streams = streams;
        this.lifecycle = lifecycle;
        this.shutdown = shutdown;
        this.rateLimiter = rateLimiter;
    }

    /** Handles a client's header list with a new stream ID. */
    void open(int streamId, Headers headers, boolean endStream) throws Http2Exception {
        streams.peerOpened(streamId);
        if (shutdown.refusesStreams() || streams.size() >= maxStreams) {
            rateLimiter.charge(
                    FrameRateLimiter.REFUSED_STREAM_COST, "HEADERS beyond the streams allowed");
            throw Http2Exception.stream(
                    ErrorCode.REFUSED_STREAM, streamId, "no more streams are taken");
        }
        String problem = HeaderValidator.validateRequest(headers);
        if (problem != null) {
            throw Http2Exception.stream(ErrorCode.PROTOCOL_ERROR, streamId, problem);
        }
        Http2Stream stream = streamFactory.apply(streamId);
        stream.headersReceived();
        if (endStream) {
            stream.endRemote();
        }
        streams.put(stream);
        stream.listener(acceptor.accept(stream, headers, endStream));
        lifecycle.closeIfBothEnded(stream);
    }
}
