package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;

/**
 * Dispatches each frame to its handler. Rejects other frames before the peer's first SETTINGS, and
 * charges frames without content to the rate limiter.
 */
final class FrameDispatcher implements FrameListener {
    private final RemoteSettings remote;
    private final FrameRateLimiter rateLimiter;
    private final FrameWriter writer;
    private final HeadersHandler headersHandler;
    private final StreamFrameHandler streamFrameHandler;
    private final SettingsHandler settingsHandler;
    private final GracefulShutdown shutdown;

    /**
     * Creates the dispatcher.
     *
     * @param remote the peer's settings, which show whether its first SETTINGS frame has arrived
     * @param rateLimiter limits frames without content
     * @param writer writes the replies to PING
     * @param headersHandler handles HEADERS and CONTINUATION
     * @param streamFrameHandler handles DATA, RST_STREAM and WINDOW_UPDATE
     * @param settingsHandler handles SETTINGS
     * @param shutdown handles GOAWAY and acknowledgements of PING
     */
    FrameDispatcher(
            RemoteSettings remote,
            FrameRateLimiter rateLimiter,
            FrameWriter writer,
            HeadersHandler headersHandler,
            StreamFrameHandler streamFrameHandler,
            SettingsHandler settingsHandler,
            GracefulShutdown shutdown) {
        this.remote = remote;
        this.rateLimiter = rateLimiter;
        this.writer = writer;
        this.headersHandler = headersHandler;
        this.streamFrameHandler = streamFrameHandler;
        this.settingsHandler = settingsHandler;
        this.shutdown = shutdown;
    }

    @Override
    public void onData(int streamId, ByteBuf payload, int flowControlledBytes, boolean endStream)
            throws Http2Exception {
        requireSettings();
        streamFrameHandler.onData(streamId, payload, flowControlledBytes, endStream);
    }

    @Override
    public void onHeaders(int streamId, ByteBuf fragment, boolean endStream, boolean endHeaders)
            throws Http2Exception {
        requireSettings();
        if (endHeaders) {
            headersHandler.onHeaders(streamId, fragment, endStream);
        } else {
            headersHandler.onFirstFragment(fragment, endStream);
        }
    }

    @Override
    public void onContinuation(int streamId, ByteBuf fragment, boolean endHeaders)
            throws Http2Exception {
        rateLimiter.charge(FrameRateLimiter.CONTINUATION_COST, "CONTINUATION");
        headersHandler.onContinuation(streamId, fragment, endHeaders);
    }

    @Override
    public void onPriority(int streamId) throws Http2Exception {
        requireSettings();
        rateLimiter.charge(FrameRateLimiter.PRIORITY_COST, "PRIORITY");
    }

    @Override
    public void onReset(int streamId, ErrorCode code) throws Http2Exception {
        requireSettings();
        streamFrameHandler.onReset(streamId, code);
    }

    @Override
    public void onSettings(ByteBuf settings) throws Http2Exception {
        if (remote.isReceived()) {
            rateLimiter.charge(FrameRateLimiter.SETTINGS_COST, "SETTINGS");
        }
        settingsHandler.onSettings(settings);
    }

    @Override
    public void onSettingsAck() throws Http2Exception {
        requireSettings();
        rateLimiter.charge(FrameRateLimiter.SETTINGS_ACK_COST, "SETTINGS with ACK");
    }

    @Override
    public void onPing(boolean ack, long content) throws Http2Exception {
        requireSettings();
        if (ack) {
            shutdown.onPingAck(content);
        } else {
            rateLimiter.charge(FrameRateLimiter.PING_COST, "PING");
            writer.ping(true, content);
        }
    }

    @Override
    public void onGoAway(int lastStreamId, ErrorCode code) throws Http2Exception {
        requireSettings();
        rateLimiter.charge(FrameRateLimiter.GOAWAY_COST, "GOAWAY");
        shutdown.onGoAway(lastStreamId, code);
    }

    @Override
    public void onWindowUpdate(int streamId, int increment) throws Http2Exception {
        requireSettings();
        streamFrameHandler.onWindowUpdate(streamId, increment);
    }

    @Override
    public void onUnknown(int type) throws Http2Exception {
        requireSettings();
        rateLimiter.charge(FrameRateLimiter.UNKNOWN_COST, "type " + type);
    }

    private void requireSettings() throws Http2Exception {
        if (!remote.isReceived()) {
            throw Http2Exception.connection(
                    ErrorCode.PROTOCOL_ERROR, "the first frame has to be SETTINGS");
        }
    }
}
