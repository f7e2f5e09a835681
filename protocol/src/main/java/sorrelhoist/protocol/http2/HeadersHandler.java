package sorrelhoist.protocol.http2;

import static sorrelhoist.protocol.http2.Http2Exception.stream;

import io.netty.buffer.ByteBuf;
import sorrelhoist.protocol.hpack.Headers;

/**
 * Handles received header lists: a list is a request, a response or trailers, depending on the
 * state of its stream.
 */
final class HeadersHandler {
    private final boolean server;
    private final HeaderBlockReader blocks;
    private final StreamTable streams;
    private final StreamLookup lookup;
    private final StreamLifecycle lifecycle;
    private final PeerStreamOpener opener;

    /**
     * Creates the handler.
     *
     * @param server whether this side is the server
     * @param blocks joins and decodes header blocks
     * @param streams determines whether a stream ID opens a new stream
     * @param lookup finds open streams
     * @param lifecycle closes streams
     * @param opener opens the streams that the client requests
     */
    HeadersHandler(
            boolean server,
            HeaderBlockReader blocks,
            StreamTable streams,
            StreamLookup lookup,
            StreamLifecycle lifecycle,
            PeerStreamOpener opener) {
        this.server = server;
        this.blocks = blocks;
        this.streams = streams;
        this.lookup = lookup;
        this.lifecycle = lifecycle;
        this.opener = opener;
    }

    /** Handles HEADERS whose block is complete. */
    void onHeaders(int streamId, ByteBuf block, boolean endStream) throws Http2Exception {
        onHeaderList(streamId, blocks.decode(block), endStream);
    }

    /** Handles HEADERS whose block is continued by CONTINUATION. */
    void onFirstFragment(ByteBuf fragment, boolean endStream) {
        blocks.open(fragment, endStream);
    }

    /** Handles CONTINUATION. */
    void onContinuation(int streamId, ByteBuf fragment, boolean endHeaders) throws Http2Exception {
        blocks.append(fragment);
        if (endHeaders) {
            boolean endStream = blocks.openBlockEndsStream();
            onHeaderList(streamId, blocks.close(), endStream);
        }
    }

    private void onHeaderList(int streamId, Headers headers, boolean endStream)
            throws Http2Exception {
        if (streams.opensPeerStream(streamId)) {
            opener.open(streamId, headers, endStream);
            return;
        }
        Http2Stream stream = lookup.find(streamId, "HEADERS");
        if (stream == null) {
            return;
        }
        if (stream.isRemoteEnded()) {
            throw stream(ErrorCode.STREAM_CLOSED, streamId, "HEADERS after the end of the stream");
        }
        if (server || stream.areHeadersReceived()) {
            onTrailers(stream, headers, endStream);
        } else {
            onResponse(stream, headers, endStream);
        }
    }

    private void onTrailers(Http2Stream stream, Headers trailers, boolean endStream)
            throws Http2Exception {
        rejectIfMalformed(stream, HeaderValidator.validateTrailers(trailers));
        if (!endStream) {
            rejectIfMalformed(stream, "trailers that do not end the stream");
        }
        deliver(stream, trailers, true);
    }

    private void onResponse(Http2Stream stream, Headers headers, boolean endStream)
            throws Http2Exception {
        rejectIfMalformed(stream, HeaderValidator.validateResponse(headers));
        boolean interim = headers.get(":status", "").startsWith("1");
        if (!interim) {
            deliver(stream, headers, endStream);
        } else if (endStream) {
            rejectIfMalformed(stream, "an interim response that ends the stream");
        }
    }

    private static void rejectIfMalformed(Http2Stream stream, String problem)
            throws Http2Exception {
        if (problem != null) {
            throw stream(ErrorCode.PROTOCOL_ERROR, stream.id(), problem);
        }
    }

    private void deliver(Http2Stream stream, Headers headers, boolean endStream) {
        stream.headersReceived();
        if (endStream) {
            stream.endRemote();
        }
        stream.listener().onHeaders(headers, endStream);
        lifecycle.closeIfBothEnded(stream);
    }
}
