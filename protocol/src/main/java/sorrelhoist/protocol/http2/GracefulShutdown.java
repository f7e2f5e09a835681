package sorrelhoist.protocol.http2;

/**
 * Shuts a connection down gracefully, from either side (RFC 9113 section 6.8): no new streams are
 * opened, open streams continue, and the connection is closed after the last one.
 *
 * <p>A server announces the shutdown with two GOAWAY frames. The first has the maximum stream ID,
 * because new streams may be in transit. The acknowledgement of a PING shows that the client has
 * read it; then the second announces the actual last stream.
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
    private boolean startedLocally;
    private boolean lastStreamAnnounced;
    private boolean startedByPeer;

    /**
     * Creates the shutdown handling of a connection; the shutdown is not started.
     *
     * @param server whether this side is the server
     * @param channel the channel, which is closed after the last stream
     * @param writer writes GOAWAY and PING
     * @param streams the connection's streams
     * @param lifecycle closes streams that the peer does not process
     * @param onPeerShutdown run when the peer's first GOAWAY arrives
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

    /**
     * {@return whether either side has started the shutdown, so that this side opens no new
     * streams}
     */
    boolean isStarted() {
        return startedLocally || startedByPeer;
    }

    /** {@return whether new streams from the peer are refused} */
    boolean refusesStreams() {
        return lastStreamAnnounced;
    }

    /** Starts the shutdown on this side. */
    void start() {
        if (startedLocally) {
            return;
        }
        startedLocally = true;
        if (server) {
            writer.goAway(Frames.MAX_STREAM_ID, ErrorCode.NO_ERROR, DEBUG_DATA);
            writer.ping(false, PING_CONTENT);
        }
        closeIfComplete();
    }

    /** Called when the peer acknowledges a PING. */
    void onPingAck(long content) {
        if (content == PING_CONTENT && startedLocally && !lastStreamAnnounced) {
            lastStreamAnnounced = true;
            writer.goAway(streams.lastPeerStreamId(), ErrorCode.NO_ERROR, DEBUG_DATA);
            closeIfComplete();
        }
    }

    /** Called when the peer sends GOAWAY. */
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

    /** Closes the connection if the shutdown has started and no stream is open. */
    void closeIfComplete() {
        boolean announced = !server || lastStreamAnnounced;
        boolean due = startedLocally && announced || startedByPeer;
        if (due && streams.size() == 0 && !channel.isClosing()) {
            channel.closeAfterFlush("drained");
        }
    }
}
