package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.EventExecutor;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.hpack.HpackEncoder;

/**
 * The client or server side of one HTTP/2 connection (RFC 9113), in cleartext with prior knowledge.
 * All methods must be called on the channel's event loop; other threads submit tasks to {@link
 * #executor}.
 *
 * <p>This class is the interface to the Netty channel and to the user of the connection. It
 * composes the following parts, each of which owns its state: {@link FrameDecoder} and {@link
 * FrameDispatcher} for received frames, {@link FrameWriter} for sent frames, {@link
 * InboundFlowController} and {@link OutboundFlowController} for flow control, {@link
 * StreamLifecycle} for streams, {@link SettingsHandler} and {@link GracefulShutdown}.
 */
public final class Http2Connection extends ChannelInboundHandlerAdapter {
    /** Accepts the streams that a client opens. */
    public interface StreamAcceptor {
        /**
         * Called when a client opens a stream.
         *
         * @param stream the stream
         * @param headers the request's validated header list
         * @param endStream whether the header list ends the client's side of the stream
         * @return the listener for the rest of the stream
         */
        Http2StreamListener accept(Http2Stream stream, Headers headers, boolean endStream);
    }

    /** Receives the events of a connection, on its event loop. */
    public interface Listener {
        /**
         * Called when the peer's first SETTINGS frame has been applied, which shows that the peer
         * uses HTTP/2.
         */
        default void onReady(Http2Connection connection) {}

        /**
         * Called when the peer announces its shutdown: it accepts no new streams, but open streams
         * continue.
         */
        default void onGoAway(Http2Connection connection) {}

        /** Called when a stream is closed, so that another one may be opened. */
        default void onStreamClosed(Http2Connection connection) {}

        /**
         * Called when the connection is closed, after the listeners of all its streams were
         * notified.
         */
        default void onClosed(Http2Connection connection, String reason) {}
    }

    private final boolean server;
    private final Http2Limits limits;
    private final Listener listener;
    private final ConnectionChannel channel;
    private final FrameDecoder decoder;
    private final FrameDispatcher dispatcher;
    private final FrameWriter writer;
    private final HeaderBlockReader headerBlocks;
    private final RemoteSettings remote;
    private final SettingsHandler settings;
    private final StreamTable streams;
    private final StreamLifecycle lifecycle;
    private final InboundFlowController inboundFlow;
    private final OutboundFlowController outboundFlow;
    private final GracefulShutdown shutdown;
    private final IncompleteInputTimeout inputTimeout;
    private boolean started;
    private RuntimeException internalError;

    private Http2Connection(
            boolean server, Http2Limits limits, StreamAcceptor acceptor, Listener listener) {
        this.server = server;
        this.limits = limits;
        this.listener = listener;
        HpackEncoder encoder = new HpackEncoder();
        channel = new ConnectionChannel(limits.maxOutboundBytes(), this::outboundOverflow);
        decoder = new FrameDecoder(server);
        headerBlocks = new HeaderBlockReader(limits.maxHeaderOctets());
        remote = new RemoteSettings(server, encoder);
        writer = new FrameWriter(channel, encoder, remote);
        streams = new StreamTable(server);
        lifecycle = new StreamLifecycle(server, streams, writer, this::streamClosed);
        FrameRateLimiter rateLimiter = FrameRateLimiter.of(limits);
        inboundFlow =
                new InboundFlowController(limits.connectionWindow(), limits.streamWindow(), writer);
        outboundFlow =
                new OutboundFlowController(
                        channel,
                        writer,
                        remote,
                        lifecycle,
                        rateLimiter,
                        limits.stallTimeoutMicros());
        shutdown =
                new GracefulShutdown(
                        server, channel, writer, streams, lifecycle, () -> listener.onGoAway(this));
        settings =
                new SettingsHandler(
                        server,
                        limits,
                        remote,
                        writer,
                        streams,
                        outboundFlow,
                        () -> listener.onReady(this));
        dispatcher = newDispatcher(acceptor, rateLimiter);
        inputTimeout =
                new IncompleteInputTimeout(
                        channel, limits.stallTimeoutMicros(), this::inputTimedOut);
    }

    private FrameDispatcher newDispatcher(StreamAcceptor acceptor, FrameRateLimiter rateLimiter) {
        StreamLookup lookup = new StreamLookup(streams, rateLimiter);
        PeerStreamOpener opener =
                new PeerStreamOpener(
                        limits.maxStreams(),
                        acceptor,
                        this::newStream,
                        streams,
                        lifecycle,
                        shutdown,
                        rateLimiter);
        HeadersHandler headersHandler =
                new HeadersHandler(server, headerBlocks, streams, lookup, lifecycle, opener);
        StreamFrameHandler streamFrameHandler =
                new StreamFrameHandler(
                        server, lookup, lifecycle, inboundFlow, outboundFlow, rateLimiter);
        return new FrameDispatcher(
                remote,
                rateLimiter,
                writer,
                headersHandler,
                streamFrameHandler,
                settings,
                shutdown);
    }

    /**
     * Creates the server side of a connection.
     *
     * @param limits limits that the client has to keep
     * @param acceptor accepts the client's streams
     * @param listener receives the connection's events
     * @return a handler for one channel
     */
    public static Http2Connection server(
            Http2Limits limits, StreamAcceptor acceptor, Listener listener) {
        return new Http2Connection(true, limits, acceptor, listener);
    }

    /**
     * Creates the client side of a connection.
     *
     * @param limits limits that the server has to keep
     * @param listener receives the connection's events
     * @return a handler for one channel
     */
    public static Http2Connection client(Http2Limits limits, Listener listener) {
        return new Http2Connection(false, limits, null, listener);
    }

    /** {@return the event loop on which all methods must be called} */
    public EventExecutor executor() {
        return channel.executor();
    }

    /** {@return the number of open streams} */
    public int openStreamCount() {
        return streams.size();
    }

    /** {@return the number of buffered bytes of incomplete frames and header blocks} */
    int bufferedBytes() {
        return decoder.bufferedBytes() + headerBlocks.bufferedBytes();
    }

    /** {@return the unexpected exception that closed the connection, or null} */
    RuntimeException internalError() {
        return internalError;
    }

    /** {@return whether the peer's first SETTINGS frame has arrived} */
    public boolean isReady() {
        return remote.isReceived();
    }

    /** {@return whether {@link #openStream} can open a stream now} */
    public boolean canOpenStream() {
        return channel.isAttached()
                && !channel.isClosing()
                && !shutdown.isStarted()
                && remote.isReceived()
                && streams.size() < remote.maxConcurrentStreams()
                && streams.hasNextLocalId()
                && channel.isActive();
    }

    /**
     * Opens a stream from the client side.
     *
     * @param headers the request's header list, pseudo-headers first
     * @param endStream whether the request has no body
     * @param streamListener receives the events of the stream
     * @return the stream, or null if {@link #canOpenStream} is false
     */
    public Http2Stream openStream(
            Headers headers, boolean endStream, Http2StreamListener streamListener) {
        if (!canOpenStream()) {
            return null;
        }
        Http2Stream stream = newStream(streams.nextLocalId());
        stream.listener(streamListener);
        streams.put(stream);
        stream.writeHeaders(headers, endStream);
        return stream;
    }

    private Http2Stream newStream(int id) {
        return new Http2Stream(this, id, remote.initialWindowSize(), limits.streamWindow());
    }

    /**
     * Shuts the connection down gracefully (RFC 9113 section 6.8): the peer is asked to open no
     * more streams, open streams continue, and the connection is closed after the last one. Streams
     * that the peer opened before it received the request are still accepted.
     */
    public void shutdownGracefully() {
        if (channel.isAttached() && !channel.isClosing()) {
            shutdown.start();
        }
    }

    /**
     * Closes the connection immediately and notifies the listeners of all its streams.
     *
     * @param code the error code sent to the peer
     * @param reason description for the peer and for logs
     */
    public void close(ErrorCode code, String reason) {
        if (!channel.isAttached() || channel.isClosing()) {
            return;
        }
        ByteBuf goAway =
                Frames.goAway(channel.allocator(), streams.lastPeerStreamId(), code, reason);
        channel.closeWith(goAway, reason);
        closeStreams(code);
    }

    private void closeStreams(ErrorCode code) {
        lifecycle.closeAll(code, channel.closeReason());
        outboundFlow.clear();
    }

    // ---- Parts

    private void streamClosed() {
        listener.onStreamClosed(this);
        shutdown.closeIfComplete();
    }

    private void outboundOverflow() {
        close(ErrorCode.ENHANCE_YOUR_CALM, "the peer does not read what it asked for");
        channel.closeNow();
    }

    private void inputTimedOut() {
        ErrorCode code =
                remote.isReceived() ? ErrorCode.ENHANCE_YOUR_CALM : ErrorCode.SETTINGS_TIMEOUT;
        close(code, "a preface, header block or frame took too long to come whole");
    }

    // ---- Streams

    ByteBuf allocate(int bytes) {
        return channel.allocator().buffer(bytes);
    }

    void writeHeaders(Http2Stream stream, Headers headers, boolean endStream) {
        lifecycle.writeHeaders(stream, headers, endStream);
    }

    void scheduleData(Http2Stream stream) {
        outboundFlow.schedule(stream);
    }

    void returnCredit(Http2Stream stream) {
        inboundFlow.returnCredit(stream);
    }

    void resetStream(Http2Stream stream, ErrorCode code) {
        lifecycle.reset(stream, code);
    }

    // ---- Channel

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel.attach(context);
        if (context.channel().isActive()) {
            start();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        start();
        context.fireChannelActive();
    }

    private void start() {
        if (started) {
            return;
        }
        started = true;
        if (!server) {
            writer.preface();
        }
        settings.writeSettings();
        inboundFlow.growConnectionWindow();
        inputTimeout.inputIncomplete();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf received = (ByteBuf) message;
        if (channel.isClosing()) {
            received.release();
            return;
        }
        ByteBuf input = decoder.join(context.alloc(), received);
        try {
            readFrames(input);
        } catch (Http2Exception e) {
            close(e.code(), e.getMessage());
        } catch (RuntimeException e) {
            internalError = e;
            close(ErrorCode.INTERNAL_ERROR, "internal error: " + e);
        } finally {
            keepRemainder(input);
        }
    }

    private void readFrames(ByteBuf input) throws Http2Exception {
        boolean complete = true;
        while (complete && !channel.isClosing()) {
            try {
                complete = decoder.decodeNext(input, dispatcher);
            } catch (Http2Exception e) {
                if (e.stream() == 0) {
                    throw e;
                }
                lifecycle.onStreamError(e);
            }
        }
    }

    private void keepRemainder(ByteBuf input) {
        if (channel.isClosing()) {
            input.release();
        } else {
            decoder.keep(input);
        }
        if (decoder.isComplete() && remote.isReceived()) {
            inputTimeout.inputComplete();
        } else {
            inputTimeout.inputIncomplete();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        channel.markClosed();
        decoder.release();
        headerBlocks.release();
        closeStreams(ErrorCode.CONNECT_ERROR);
        listener.onClosed(this, channel.closeReason());
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.closeOnError(cause);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            outboundFlow.writePending();
        }
        context.fireChannelWritabilityChanged();
    }
}
