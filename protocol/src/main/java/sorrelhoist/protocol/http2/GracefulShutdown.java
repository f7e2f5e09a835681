package sorrelhoist.protocol.http2;

/**
 * Ends a connection in good order, from either side (RFC 9113 section 6.8): no new streams are
 * opened, those that are open go on, and the connection closes with the last.
 *
 * <p>A server announces it in two steps. The first GOAWAY names no last stream, as streams may be
 * on their way; the second, once the answer to a PING shows that the first was read, does.
 */
final class GracefulShutdown {
    private static final long PING_CONTENT = 0x736f7272656c01L;
    private static final String DEBUG_DATA = "draining";

    private final boolean server;
    private final ConnectionChannel channel;
    private final FrameWriter writer;
    private final StreamTable streams;
    private final StreamLifecycle lifecycle;
    private final Runnable onPeerShutdown;
    private boolean startedHere;
    private boolean lastStreamAnnounced;
    private boolean startedByPeer;

    /**
     * Creates the shutdown of a connection that is not ending.
     *
     * @param server whether this side serves
     * @param channel closed at the end
     * @param writer writes GOAWAY and PING
     * @param streams the connection's streams
     * @param lifecycle ends streams that the peer does not process
     * @param onPeerShutdown run when the peer's first GOAWAY came
     */
    GracefulShutdown(
            boolean server,
            ConnectionChannel channel,
            FrameWriter writer,
            StreamTable streams,
            StreamLifecycle lifecycle,
            Runnable onPeerShutdown) {
        this.server = server;
        this.channel = channel;
        this.writer = writer;
        this.streams = streams;
        this.lifecycle = lifecycle;
        this.onPeerShutdown = onPeerShutdown;
    }

    /** {@return whether either side has begun it, so that this side opens no streams} */
    boolean isStarted() {
        return startedHere || startedByPeer;
    }

    /** {@return whether streams that the peer opens now are refused} */
    boolean refusesStreams() {
        return lastStreamAnnounced;
    }

    /** Begins it on this side. */
    void start() {
        if (startedHere) {
            return;
        }
        startedHere = true;
        if (server) {
            writer.goAway(Frames.MAX_STREAM_ID, ErrorCode.NO_ERROR, DEBUG_DATA);
            writer.ping(false, PING_CONTENT);
        }
        closeIfComplete();
    }

    /** The peer answered a PING. */
    void onPingAck(long content) {
        if (content == PING_CONTENT && startedHere && !lastStreamAnnounced) {
            lastStreamAnnounced = true;
            writer.goAway(streams.lastPeerStreamId(), ErrorCode.NO_ERROR, DEBUG_DATA);
            closeIfComplete();
        }
    }

    /** The peer sent GOAWAY. */
    void onGoAway(int lastStreamId, ErrorCode code) {
        boolean first = !startedByPeer;
        startedByPeer = true;
        if (!server) {
            lifecycle.closeUnprocessed(lastStreamId, code);
        }
        if (first) {
            onPeerShutdown.run();
        }
        closeIfComplete();
    }

    /** Closes the connection where the shutdown is under way and no stream is open any more. */
    void closeIfComplete() {
        boolean announced = !server || lastStreamAnnounced;
        boolean due = startedHere && announced || startedByPeer;
        if (due && streams.size() == 0 && !channel.isClosing()) {
            channel.closeAfterFlush("drained");
        }
    }
}
