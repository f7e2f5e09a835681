package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;

/** Sends this side's SETTINGS, and applies and acknowledges those of the peer. */
final class SettingsHandler {
    private final boolean server;
    private final Http2Limits limits;
    private final RemoteSettings remote;
    private final FrameWriter writer;
    private final StreamTable streams;
    private final OutboundFlowController outboundFlow;
    private final Runnable onReady;

    /**
     * Creates the handler.
     *
     * @param server whether this side is the server
     * @param limits the limits that this side's settings announce
     * @param remote the peer's settings
     * @param writer writes SETTINGS
     * @param streams the streams whose windows change with the peer's initial window size
     * @param outboundFlow sends what the new settings allow
     * @param onReady run when the peer's first SETTINGS frame has been applied
     */
    SettingsHandler(
            boolean server,
            Http2Limits limits,
            RemoteSettings remote,
            FrameWriter writer,
            StreamTable streams,
            OutboundFlowController outboundFlow,
            Runnable onReady) {
        this.server = server;
        this.limits = limits;
        this.remote = remote;
        this.writer = writer;
        this.streams = streams;
        this.outboundFlow = outboundFlow;
        this.onReady = onReady;
    }

    /** Sends this side's settings. */
    void writeSettings() {
        writer.settings(
                server ? Frames.MAX_CONCURRENT_STREAMS : Frames.ENABLE_PUSH,
                server ? limits.maxStreams() : 0,
                Frames.INITIAL_WINDOW_SIZE,
                limits.streamWindow(),
                Frames.MAX_HEADER_LIST_SIZE,
                limits.maxHeaderOctets());
    }

    /** Applies and acknowledges a SETTINGS frame of the peer. */
    void onSettings(ByteBuf settings) throws Http2Exception {
        boolean first = remote.markReceived();
        while (settings.isReadable()) {
            apply(settings.readUnsignedShort(), settings.readUnsignedInt());
        }
        writer.settingsAck();
        if (first) {
            onReady.run();
        }
        outboundFlow.writePending();
    }

    private void apply(int identifier, long value) throws Http2Exception {
        long windowChange = remote.apply(identifier, value);
        if (windowChange == 0) {
            return;
        }
        for (Http2Stream stream : streams.snapshot()) {
            if (!stream.changeSendWindow(windowChange)) {
                throw Http2Exception.connection(
                        ErrorCode.FLOW_CONTROL_ERROR, "a window over 2^31 - 1");
            }
        }
    }
}
