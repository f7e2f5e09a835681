package sorrelhoist.protocol.http2;

import static sorrelhoist.protocol.http2.Http2Exception.connection;
import static sorrelhoist.protocol.http2.Http2Exception.stream;

import io.netty.buffer.ByteBuf;

/** Handles DATA, RST_STREAM and WINDOW_UPDATE. */
final class StreamFrameHandler {
    private final boolean server;
    private final StreamLookup lookup;
    private final StreamLifecycle lifecycle;
    private final InboundFlowController inboundFlow;
    private final OutboundFlowController outboundFlow;
    private final FrameRateLimiter rateLimiter;

    /**
     * Creates the handler.
     *
     * @param server whether this side is the server
     * @param lookup finds open streams
     * @param lifecycle closes streams
     * @param inboundFlow flow control of received data
     * @param outboundFlow flow control of sent data
     * @param rateLimiter limits frames without content
     */
    StreamFrameHandler(
            boolean server,
            StreamLookup lookup,
            StreamLifecycle lifecycle,
            InboundFlowController inboundFlow,
            OutboundFlowController outboundFlow,
            FrameRateLimiter rateLimiter) {
        this.server = server;
        this.lookup = lookup;
        this.lifecycle = lifecycle;
        this.inboundFlow = inboundFlow;
        this.outboundFlow = outboundFlow;
        this.rateLimiter = rateLimiter;
    }

    /** Handles DATA; see {@link FrameListener#onData} for the parameters. */
    void onData(int streamId, ByteBuf payload, int flowControlledBytes, boolean endStream)
            throws Http2Exception {
        inboundFlow.onConnectionData(flowControlledBytes);
        if (!endStream) {
            chargeSmallData(payload);
        }
        Http2Stream stream = lookup.find(streamId, "DATA");
        if (stream == null) {
            return;
        }
        if (stream.isRemoteEnded()) {
            throw stream(ErrorCode.STREAM_CLOSED, streamId, "DATA after the end of the stream");
        }
        if (!server && !stream.areHeadersReceived()) {
            throw stream(
                    ErrorCode.PROTOCOL_ERROR, streamId, "DATA before the response's header list");
        }
        int padding = flowControlledBytes - payload.readableBytes();
        inboundFlow.onStreamData(stream, flowControlledBytes, padding);
        if (endStream) {
            stream.endRemote();
        }
        stream.listener().onData(payload, endStream);
        lifecycle.closeIfBothEnded(stream);
    }

    private void chargeSmallData(ByteBuf payload) throws Http2Exception {
        if (!payload.isReadable()) {
            rateLimiter.charge(FrameRateLimiter.EMPTY_DATA_COST, "DATA");
        } else if (payload.readableBytes() < FrameRateLimiter.TINY_DATA_BYTES) {
            rateLimiter.charge(FrameRateLimiter.TINY_DATA_COST, "DATA");
        }
    }

    /** Handles RST_STREAM. */
    void onReset(int streamId, ErrorCode code) throws Http2Exception {
        // RST_STREAM on a closed stream is allowed and needs no work (section 5.1).
        Http2Stream stream = lookup.findOrEnded(streamId, "RST_STREAM");
        if (stream == null) {
            return;
        }
        if (server) {
            rateLimiter.charge(FrameRateLimiter.RESET_COST, "RST_STREAM");
        }
        lifecycle.close(stream);
        boolean unprocessed = code == ErrorCode.REFUSED_STREAM;
        stream.listener().onReset(code, unprocessed, "the peer reset the stream: " + code);
    }

    /** Handles WINDOW_UPDATE. */
    void onWindowUpdate(int streamId, int increment) throws Http2Exception {
        if (increment == 0) {
            String violation = "WINDOW_UPDATE of 0";
            throw streamId == 0
                    ? connection(ErrorCode.PROTOCOL_ERROR, violation)
                    : stream(ErrorCode.PROTOCOL_ERROR, streamId, violation);
        }
        if (streamId == 0) {
            outboundFlow.growConnectionWindow(increment);
        } else {
            growStreamWindow(streamId, increment);
        }
        outboundFlow.writePending();
    }

    private void growStreamWindow(int streamId, int increment) throws Http2Exception {
        Http2Stream stream = lookup.findOrEnded(streamId, "WINDOW_UPDATE");
        if (stream != null && !stream.changeSendWindow(increment)) {
            throw stream(
                    ErrorCode.FLOW_CONTROL_ERROR, streamId, "the stream's window over 2^31 - 1");
        }
    }
}
