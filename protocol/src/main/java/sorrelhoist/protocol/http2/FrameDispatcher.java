package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;

/**
 * Hands each frame to the part of the connection that it concerns, once the peer's SETTINGS have
 * come, and charges those that carry nothing.
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
     * @param remote tells whether the peer's settings have come
     * @param rateLimiter pays for frames without content
     * @param writer answers PING
     * @param headersHandler takes HEADERS and CONTINUATION
     * @param streamFrameHandler takes DATA, RST_STREAM and WINDOW_UPDATE
     * @param settingsHandler takes SETTINGS
     * @param shutdown takes GOAWAY and answers to PING
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
