package sorrelhoist.protocol.http2;

import java.util.function.IntFunction;
import sorrelhoist.protocol.hpack.Headers;

/** Opens the streams that a client asks for, or refuses them. */
final class RemoteStreamOpener {
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
     * @param maxStreams that a client may have open at once
     * @param acceptor takes the streams
     * @param streamFactory makes a stream of its number
     * @param streams the connection's streams
     * @param lifecycle ends streams that their acceptor has answered at once
     * @param shutdown after which streams are refused
     * @param rateLimiter pays for streams that are refused
     */
    RemoteStreamOpener(
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

    /** A client's HEADERS came with the number of a new stream. */
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
