package sorrelhoist.protocol.http2;

import static sorrelhoist.protocol.http2.Http2Exception.connection;
import static sorrelhoist.protocol.http2.Http2Exception.stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.EventExecutor;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.concurrent.TimeUnit;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.hpack.HpackDecoder;
import sorrelhoist.protocol.hpack.HpackEncoder;
import sorrelhoist.protocol.hpack.HpackException;

/**
 * One HTTP/2 connection (RFC 9113) in cleartext with prior knowledge, either side. All of it runs
 * on the channel's event loop; what other threads want goes through {@link #executor}.
 *
 * <p>Credit of the connection's window is given back as bytes arrive, that of a stream's window as
 * its user takes them: a user that is slow holds back its own stream and no other, and the bytes
 * held for it stay under the stream's window. What waits to be sent takes turns by bytes, so that
 * no stream starves another.
 */
public final class Http2Connection extends ChannelInboundHandlerAdapter {
    /** Makes listeners for the streams that a client opens. */
    public interface StreamAcceptor {
        /**
         * A client opened a stream.
         *
         * @param stream the stream
         * @param headers its request's list, checked
         * @param end whether the client's side has ended with it
         * @return who is told of the rest
         */
        Http2StreamListener accept(Http2Stream stream, Headers headers, boolean end);
    }

    /** Follows a connection's life, on its event loop. */
    public interface Listener {
        /** The peer's settings came: it speaks HTTP/2. */
        default void onReady(Http2Connection connection) {}

        /** The peer takes no new streams; those open go on. */
        default void onGoAway(Http2Connection connection) {}

        /** A stream ended: there is room for another. */
        default void onStreamClosed(Http2Connection connection) {}

        /** The connection is gone, all its streams were told. */
        default void onClosed(Http2Connection connection, String why) {}
    }

    private static final int TURN = 4 << 10;
    private static final int COPY = 1 << 10;
    private static final int MAX_STREAM_ID = Integer.MAX_VALUE;
    private static final long SHUTDOWN_PING = 0x736f7272656c01L;

    private final boolean server;
    private final Http2Limits limits;
    private final StreamAcceptor acceptor;
    private final Listener watcher;
    private final FrameReader reader = new FrameReader(Frames.DEFAULT_FRAME);
    private final HpackEncoder encoder = new HpackEncoder();
    private final HpackDecoder decoder;
    private final StreamTable streams;
    private final PeerSettings peer;
    private final FlowControl flow;
    private final ArrayDeque<Http2Stream> turns = new ArrayDeque<>();
    private final FrameReader.Sink sink = new Inbound();

    private ChannelHandlerContext ctx;
    private ByteBuf rest = Unpooled.EMPTY_BUFFER;
    private ByteBuf block;
    private boolean blockEnds;
    private boolean prefaceSeen;
    private boolean settingsSeen;
    private RateGuard guard;
    private long partialSince;
    private boolean watching;
    private boolean watchingStuck;
    private boolean greeted;
    private boolean peerDrains;
    private boolean draining;
    private boolean drainAnnounced;
    private boolean failed;
    private boolean flushDue;
    private RuntimeException internalError;
    private String why = "the peer closed the connection";

    private Http2Connection(
            boolean server, Http2Limits limits, StreamAcceptor acceptor, Listener watcher) {
        this.server = server;
        this.limits = limits;
        this.acceptor = acceptor;
        this.watcher = watcher;
        this.decoder = new HpackDecoder(HpackDecoder.DEFAULT_TABLE, limits.maxHeaderOctets());
        this.streams = new StreamTable(server);
        this.peer = new PeerSettings(server, encoder);
        this.flow = new FlowControl(limits.connectionWindow());
    }

    /**
     * Makes the serving side.
     *
     * @param limits what the client may cost
     * @param acceptor takes its streams
     * @param watcher follows the connection
     * @return a handler for one channel
     */
    public static Http2Connection server(
            Http2Limits limits, StreamAcceptor acceptor, Listener watcher) {
        return new Http2Connection(true, limits, acceptor, watcher);
    }

    /**
     * Makes the calling side.
     *
     * @param limits what the server may cost
     * @param watcher follows the connection
     * @return a handler for one channel
     */
    public static Http2Connection client(Http2Limits limits, Listener watcher) {
        return new Http2Connection(false, limits, null, watcher);
    }

    /** {@return the event loop on which everything here is to be called} */
    public EventExecutor executor() {
        return ctx.executor();
    }

    /** {@return open streams} */
    public int openStreamCount() {
        return streams.size();
    }

    /** {@return bytes of frames and header blocks that are not whole yet} */
    int heldBytes() {
        return rest.readableBytes() + (block == null ? 0 : block.readableBytes());
    }

    /** {@return what ended the connection where that was this program's own fault, or null} */
    RuntimeException internalError() {
        return internalError;
    }

    /** {@return whether the peer's settings have come} */
    public boolean isReady() {
        return settingsSeen;
    }

    /** {@return whether {@link #openStream} would give a stream now} */
    public boolean canOpenStream() {
        return ctx != null
                && !failed
                && !draining
                && !peerDrains
                && settingsSeen
                && streams.size() < peer.streams()
                && streams.hasNext()
                && ctx.channel().isActive();
    }

    /**
     * Opens a stream on the calling side.
     *
     * @param headers the request's list, pseudo-headers first
     * @param end whether nothing follows it
     * @param listener who is told of the answer
     * @return the stream, or null where {@link #canOpenStream} is false
     */
    public Http2Stream openStream(Headers headers, boolean end, Http2StreamListener listener) {
        if (!canOpenStream()) {
            return null;
        }
        Http2Stream s = new Http2Stream(this, streams.next(), peer.window(), limits.streamWindow());
        s.listener = listener;
        streams.put(s);
        s.writeHeaders(headers, end);
        return s;
    }

    /**
     * Ends the connection in good order: the peer is told to open no more streams, those open go
     * on, and the connection closes with the last. Streams already on their way are still taken
     * (RFC 9113 section 6.8).
     */
    public void shutdownGracefully() {
        if (draining || failed || ctx == null) {
            return;
        }
        draining = true;
        if (server) {
            write(Frames.goAway(ctx.alloc(), MAX_STREAM_ID, ErrorCode.NO_ERROR, "draining"));
            write(Frames.ping(ctx.alloc(), false, SHUTDOWN_PING));
        }
        closeIfDrained();
    }

    /**
     * Ends the connection at once; all its streams are told.
     *
     * @param code what the peer is told
     * @param reason for the peer and for logs
     */
    public void close(ErrorCode code, String reason) {
        if (failed || ctx == null) {
            return;
        }
        failed = true;
        why = reason;
        ctx.writeAndFlush(Frames.goAway(ctx.alloc(), streams.lastPeerStream(), code, reason))
                .addListener(ChannelFutureListener.CLOSE);
        // A peer that reads nothing must not keep the socket: the close does not wait for the last
        // frame.
        ctx.executor().schedule(() -> ctx.close(), 1, TimeUnit.SECONDS);
        endStreams(code);
    }

    // ---- Channel
    // ------------------------------------------------------------------------------------------

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
        guard =
                new RateGuard(
                        limits.floodPointsPerSecond(),
                        limits.floodPointsBurst(),
                        System.nanoTime());
        if (context.channel().isActive()) {
            greet();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        greet();
        context.fireChannelActive();
    }

    private void greet() {
        if (greeted) {
            return;
        }
        greeted = true;
        if (!server) {
            write(
                    ctx.alloc()
                            .buffer()
                            .writeBytes(Frames.PREFACE.getBytes(StandardCharsets.US_ASCII)));
        }
        write(
                server
                        ? Frames.settings(
                                ctx.alloc(),
                                Frames.MAX_CONCURRENT_STREAMS,
                                limits.maxStreams(),
                                Frames.INITIAL_WINDOW_SIZE,
                                limits.streamWindow(),
                                Frames.MAX_HEADER_LIST_SIZE,
                                limits.maxHeaderOctets())
                        : Frames.settings(
                                ctx.alloc(),
                                Frames.ENABLE_PUSH,
                                0,
                                Frames.INITIAL_WINDOW_SIZE,
                                limits.streamWindow(),
                                Frames.MAX_HEADER_LIST_SIZE,
                                limits.maxHeaderOctets()));
        int more = flow.firstGrant();
        if (more > 0) {
            write(Frames.windowUpdate(ctx.alloc(), 0, more));
        }
        partialSince = System.nanoTime();
        watchStall();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf in = (ByteBuf) message;
        if (failed) {
            in.release();
            return;
        }
        if (rest.isReadable()) {
            ByteBuf joined = context.alloc().buffer(rest.readableBytes() + in.readableBytes());
            joined.writeBytes(rest).writeBytes(in);
            rest.release();
            in.release();
            in = joined;
        }
        rest = Unpooled.EMPTY_BUFFER;
        try {
            readAll(in);
        } catch (Http2Exception e) {
            close(e.code(), e.getMessage());
        } catch (RuntimeException e) {
            internalError = e;
            close(ErrorCode.INTERNAL_ERROR, "internal error: " + e);
        } finally {
            keepRest(in);
        }
    }

    private void keepRest(ByteBuf in) {
        if (failed || !in.isReadable()) {
            in.release();
        } else {
            rest = in;
        }
        if (!rest.isReadable() && reader.openBlock() == 0 && prefaceSeen && settingsSeen) {
            partialSince = 0;
        } else if (partialSince == 0) {
            partialSince = System.nanoTime();
            watchStall();
        }
    }

    private void readAll(ByteBuf in) throws Http2Exception {
        if (server && !prefaceSeen && !readPreface(in)) {
            return;
        }
        prefaceSeen = true;
        while (!failed) {
            try {
                if (!reader.next(in, sink)) {
                    return;
                }
            } catch (Http2Exception e) {
                if (e.stream() == 0) {
                    throw e;
                }
                Http2Stream s = streams.get(e.stream());
                if (s != null) {
                    Http2StreamListener listener = s.listener;
                    resetStream(s, e.code());
                    if (listener != null) {
                        listener.onReset(e.code(), false, e.getMessage());
                    }
                } else {
                    streams.rememberReset(e.stream());
                    write(Frames.rst(ctx.alloc(), e.stream(), e.code()));
                }
            }
        }
    }

    private static boolean readPreface(ByteBuf in) throws Http2Exception {
        int have = Math.min(in.readableBytes(), Frames.PREFACE.length());
        for (int i = 0; i < have; i++) {
            if (in.getByte(in.readerIndex() + i) != Frames.PREFACE.charAt(i)) {
                throw connection(
                        ErrorCode.PROTOCOL_ERROR,
                        "no HTTP/2 preface: speak HTTP/2 with prior knowledge");
            }
        }
        if (have < Frames.PREFACE.length()) {
            return false;
        }
        in.skipBytes(have);
        return true;
    }

    /**
     * What comes too slowly costs its sender the connection; one look a stall, none while all is
     * whole.
     */
    private void watchStall() {
        if (!watching) {
            watching = true;
            ctx.executor()
                    .schedule(
                            this::lookForStall, limits.stallTimeoutMicros(), TimeUnit.MICROSECONDS);
        }
    }

    private void lookForStall() {
        watching = false;
        if (partialSince == 0 || failed || !ctx.channel().isActive()) {
            return;
        }
        if (System.nanoTime() - partialSince
                >= TimeUnit.MICROSECONDS.toNanos(limits.stallTimeoutMicros())) {
            close(
                    settingsSeen ? ErrorCode.ENHANCE_YOUR_CALM : ErrorCode.SETTINGS_TIMEOUT,
                    "a preface, header block or frame took too long to come whole");
        } else {
            watchStall();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        failed = true;
        rest.release();
        rest = Unpooled.EMPTY_BUFFER;
        if (block != null) {
            block.release();
            block = null;
        }
        endStreams(ErrorCode.CONNECT_ERROR);
        watcher.onClosed(this, why);
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        why = String.valueOf(cause.getMessage());
        context.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            sendWaiting();
        }
        context.fireChannelWritabilityChanged();
    }

    private void endStreams(ErrorCode code) {
        for (Http2Stream s : streams.all()) {
            drop(s);
            if (s.listener != null) {
                s.listener.onReset(code, false, why);
            }
        }
        turns.clear();
    }

    // ---- Sending
    // ------------------------------------------------------------------------------------------

    ByteBuf allocate(int bytes) {
        return ctx.alloc().buffer(bytes);
    }

    private void write(ByteBuf frame) {
        if (!ctx.channel().isActive()) {
            frame.release();
            return;
        }
        ctx.write(frame);
        if (!flushDue) {
            flushDue = true;
            ctx.executor()
                    .execute(
                            () -> {
                                flushDue = false;
                                ctx.flush();
                                checkBacklog();
                            });
        }
    }

    /**
     * Answers to PING and SETTINGS ask for no window: a peer that reads none of them must not fill
     * memory.
     */
    private void checkBacklog() {
        var out = ctx.channel().unsafe().outboundBuffer();
        if (!failed && out != null && out.totalPendingWriteBytes() > limits.maxOutboundBytes()) {
            close(ErrorCode.ENHANCE_YOUR_CALM, "the peer does not read what it asked for");
            ctx.close();
        }
    }

    void writeHeaders(Http2Stream s, Headers headers, boolean end) {
        ByteBuf fields = ctx.alloc().buffer(256);
        encoder.encode(headers, fields);
        int first = Math.min(fields.readableBytes(), peer.frame());
        boolean whole = first == fields.readableBytes();
        int flags = (end ? Frames.END_STREAM : 0) | (whole ? Frames.END_HEADERS : 0);
        write(
                Frames.header(ctx.alloc(), first, Frames.HEADERS, flags, s.id, first)
                        .writeBytes(fields, first));
        while (fields.isReadable()) {
            int part = Math.min(fields.readableBytes(), peer.frame());
            boolean last = part == fields.readableBytes();
            write(
                    Frames.header(
                                    ctx.alloc(),
                                    part,
                                    Frames.CONTINUATION,
                                    last ? Frames.END_HEADERS : 0,
                                    s.id,
                                    part)
                            .writeBytes(fields, part));
        }
        fields.release();
        if (end) {
            endLocal(s);
        }
    }

    void enqueue(Http2Stream s) {
        if (!s.queued) {
            s.queued = true;
            s.movedAt = System.nanoTime();
            turns.add(s);
            watchStuck();
        }
        sendWaiting();
    }

    /**
     * An answer that is whole here and that its peer does not take, for zero windows or a socket it
     * does not read, would be held for as long as the peer likes. It is given up after the same
     * time that a frame may take to come; a stream that still runs is its user's to judge.
     */
    private void watchStuck() {
        if (!watchingStuck && !failed) {
            watchingStuck = true;
            ctx.executor()
                    .schedule(
                            this::lookForStuck, limits.stallTimeoutMicros(), TimeUnit.MICROSECONDS);
        }
    }

    private void lookForStuck() {
        watchingStuck = false;
        long before =
                System.nanoTime() - TimeUnit.MICROSECONDS.toNanos(limits.stallTimeoutMicros());
        for (Http2Stream s : new ArrayList<>(turns)) {
            if (!s.closed && s.isEnding() && s.movedAt <= before) {
                Http2StreamListener listener = s.listener;
                resetStream(s, ErrorCode.CANCEL);
                listener.onReset(
                        ErrorCode.CANCEL, false, "the peer did not take the end of its answer");
            }
        }
        if (!turns.isEmpty()) {
            watchStuck();
        }
    }

    /**
     * Each stream in turn sends up to one turn's bytes, as long as windows and the socket take
     * them.
     */
    private void sendWaiting() {
        int idle = 0;
        while (!turns.isEmpty() && idle < turns.size() && ctx.channel().isWritable()) {
            Http2Stream s = turns.poll();
            if (s.closed || !s.hasWork()) {
                s.queued = false;
                continue;
            }
            int most =
                    (int)
                            Math.min(
                                    Math.min(flow.sendWindow(), s.sendWindow),
                                    Math.min(TURN, peer.frame()));
            if (most <= 0 && s.pendingBytes() > 0) {
                turns.add(s);
                idle++;
                continue;
            }
            idle = 0;
            s.movedAt = System.nanoTime();
            sendData(s, Math.max(0, most));
            if (!s.closed && s.hasWork()) {
                turns.add(s);
            } else {
                s.queued = false;
            }
            if (!s.closed && s.fellLow()) {
                s.listener.onWritable();
            }
        }
    }

    private void sendData(Http2Stream s, int most) {
        ByteBuf payload = s.take(most);
        int size = payload.readableBytes();
        flow.sent(size);
        s.sendWindow -= size;
        guard.earn(RateGuard.UPDATE);
        boolean end = s.endsNow();
        boolean copied = size <= COPY;
        ByteBuf header =
                Frames.header(
                        ctx.alloc(),
                        size,
                        Frames.DATA,
                        end ? Frames.END_STREAM : 0,
                        s.id,
                        copied ? size : 0);
        if (copied) {
            header.writeBytes(payload);
            payload.release();
            write(header);
        } else {
            write(header);
            write(payload);
        }
        if (end) {
            endLocal(s);
        } else {
            Headers trailers = s.trailersNow();
            if (trailers != null) {
                writeHeaders(s, trailers, true);
            }
        }
    }

    private void endLocal(Http2Stream s) {
        s.localEnded = true;
        if (s.remoteEnded) {
            drop(s);
        } else if (server) {
            // The answer is whole; what the client still sends has no reader (section 8.1).
            resetStream(s, ErrorCode.NO_ERROR);
        }
    }

    void resetStream(Http2Stream s, ErrorCode code) {
        drop(s);
        streams.rememberReset(s.id);
        write(Frames.rst(ctx.alloc(), s.id, code));
    }

    private void drop(Http2Stream s) {
        if (streams.remove(s)) {
            s.drop();
            watcher.onStreamClosed(this);
            closeIfDrained();
        }
    }

    private void closeIfDrained() {
        boolean told = !server || drainAnnounced;
        if ((draining && told || peerDrains) && streams.size() == 0 && !failed) {
            failed = true;
            why = "drained";
            ctx.flush();
            ctx.executor()
                    .execute(
                            () ->
                                    ctx.writeAndFlush(Unpooled.EMPTY_BUFFER)
                                            .addListener(ChannelFutureListener.CLOSE));
        }
    }

    void creditStream(Http2Stream s) {
        if (s.owed >= limits.streamWindow() / 2) {
            write(Frames.windowUpdate(ctx.alloc(), s.id, s.owed));
            s.receiveWindow += s.owed;
            s.owed = 0;
        }
    }

    // ---- Receiving
    // ----------------------------------------------------------------------------------------

    /** Frames as they come; what they mean for streams and windows. */
    private final class Inbound implements FrameReader.Sink {
        @Override
        public void data(int id, ByteBuf payload, int bytes, boolean end) throws Http2Exception {
            needSettings();
            int grant = flow.received(bytes);
            if (grant > 0) {
                write(Frames.windowUpdate(ctx.alloc(), 0, grant));
            }
            if (!end && payload.readableBytes() < RateGuard.TINY) {
                spend(payload.isReadable() ? RateGuard.TINY_DATA : RateGuard.EMPTY_DATA, "DATA");
            }
            Http2Stream s = known(id, "DATA");
            if (s == null) {
                return;
            }
            if (s.remoteEnded) {
                throw stream(ErrorCode.STREAM_CLOSED, id, "DATA after the end of the stream");
            }
            if (!server && !s.headersSeen) {
                throw stream(
                        ErrorCode.PROTOCOL_ERROR, id, "DATA before the response's header list");
            }
            s.receiveWindow -= bytes;
            if (s.receiveWindow < 0) {
                throw stream(
                        ErrorCode.FLOW_CONTROL_ERROR, id, "more data than the stream's window");
            }
            s.remoteEnded = end;
            s.owed += bytes - payload.readableBytes();
            s.listener.onData(payload, end);
            finish(s);
        }

        @Override
        public void headers(int id, ByteBuf fragment, boolean end, boolean whole)
                throws Http2Exception {
            needSettings();
            if (whole) {
                list(id, fragment, end);
            } else {
                blockEnds = end;
                block = ctx.alloc().buffer(fragment.readableBytes()).writeBytes(fragment);
            }
        }

        @Override
        public void continuation(int id, ByteBuf fragment, boolean whole) throws Http2Exception {
            spend(RateGuard.CONTINUATION, "CONTINUATION");
            if (block.readableBytes() + fragment.readableBytes() > limits.maxHeaderOctets()) {
                throw connection(
                        ErrorCode.ENHANCE_YOUR_CALM,
                        "a header block of more than " + limits.maxHeaderOctets() + " bytes");
            }
            block.writeBytes(fragment);
            if (whole) {
                ByteBuf done = block;
                block = null;
                try {
                    list(id, done, blockEnds);
                } finally {
                    done.release();
                }
            }
        }

        /**
         * Every block is decoded, whatever becomes of it: the table is shared with all later ones.
         */
        private void list(int id, ByteBuf fields, boolean end) throws Http2Exception {
            Headers headers;
            try {
                headers = decoder.decode(fields);
            } catch (HpackException e) {
                throw connection(
                        e.tooLarge() ? ErrorCode.ENHANCE_YOUR_CALM : ErrorCode.COMPRESSION_ERROR,
                        e.getMessage());
            }
            if (streams.opens(id)) {
                opened(id, headers, end);
                return;
            }
            Http2Stream s = known(id, "HEADERS");
            if (s == null) {
                return;
            }
            if (s.remoteEnded) {
                throw stream(ErrorCode.STREAM_CLOSED, id, "HEADERS after the end of the stream");
            }
            boolean informational = !s.headersSeen && headers.get(":status", "").startsWith("1");
            boolean trailers = s.headersSeen || server;
            String bad = trailers ? HeaderRules.trailers(headers) : HeaderRules.response(headers);
            if (bad == null && (trailers ? !end : informational && end)) {
                bad =
                        trailers
                                ? "trailers that do not end the stream"
                                : "an interim response that ends the stream";
            }
            if (bad != null) {
                throw stream(ErrorCode.PROTOCOL_ERROR, id, bad);
            }
            if (!informational) {
                s.headersSeen = true;
                s.remoteEnded = end;
                s.listener.onHeaders(headers, end);
                finish(s);
            }
        }

        private void opened(int id, Headers headers, boolean end) throws Http2Exception {
            streams.peerOpened(id);
            if (drainAnnounced || streams.size() >= limits.maxStreams()) {
                spend(RateGuard.STRAY, "HEADERS beyond the streams allowed");
                throw stream(ErrorCode.REFUSED_STREAM, id, "no more streams are taken");
            }
            String bad = HeaderRules.request(headers);
            if (bad != null) {
                throw stream(ErrorCode.PROTOCOL_ERROR, id, bad);
            }
            Http2Stream s =
                    new Http2Stream(Http2Connection.this, id, peer.window(), limits.streamWindow());
            s.remoteEnded = end;
            s.headersSeen = true;
            streams.put(s);
            s.listener = acceptor.accept(s, headers, end);
            finish(s);
        }

        private void finish(Http2Stream s) {
            if (s.remoteEnded && s.localEnded) {
                drop(s);
            }
        }

        @Override
        public void priority(int id) throws Http2Exception {
            needSettings();
            spend(RateGuard.PRIORITY, "PRIORITY");
        }

        @Override
        public void reset(int id, ErrorCode code) throws Http2Exception {
            needSettings();
            if (streams.isIdle(id)) {
                throw connection(
                        ErrorCode.PROTOCOL_ERROR, "RST_STREAM on a stream that was never opened");
            }
            Http2Stream s = streams.get(id);
            if (s == null) {
                // It has ended already and costs nothing to end again (section 5.1): as cheap as
                // late credit.
                spend(RateGuard.UPDATE, "RST_STREAM");
            } else if (server) {
                spend(RateGuard.RESET, "RST_STREAM");
            }
            if (s != null) {
                drop(s);
                s.listener.onReset(
                        code,
                        code == ErrorCode.REFUSED_STREAM,
                        "the peer reset the stream: " + code);
            }
        }

        @Override
        public void settings(ByteBuf pairs) throws Http2Exception {
            if (settingsSeen) {
                spend(RateGuard.SETTINGS, "SETTINGS");
            }
            boolean first = !settingsSeen;
            settingsSeen = true;
            while (pairs.isReadable()) {
                setting(pairs.readUnsignedShort(), pairs.readUnsignedInt());
            }
            write(Frames.settingsAck(ctx.alloc()));
            if (first) {
                watcher.onReady(Http2Connection.this);
            }
            sendWaiting();
        }

        private void setting(int number, long value) throws Http2Exception {
            long more = peer.take(number, value);
            if (more != 0) {
                for (Http2Stream s : streams.all()) {
                    s.sendWindow += more;
                    if (s.sendWindow > Integer.MAX_VALUE) {
                        throw connection(ErrorCode.FLOW_CONTROL_ERROR, "a window over 2^31 - 1");
                    }
                }
            }
        }

        @Override
        public void settingsAck() throws Http2Exception {
            needSettings();
            spend(RateGuard.PRIORITY, "SETTINGS with ACK");
        }

        @Override
        public void ping(boolean ack, long content) throws Http2Exception {
            needSettings();
            if (!ack) {
                spend(RateGuard.PING, "PING");
                write(Frames.ping(ctx.alloc(), true, content));
            } else if (content == SHUTDOWN_PING && draining && !drainAnnounced) {
                drainAnnounced = true;
                write(
                        Frames.goAway(
                                ctx.alloc(),
                                streams.lastPeerStream(),
                                ErrorCode.NO_ERROR,
                                "draining"));
                closeIfDrained();
            }
        }

        @Override
        public void goAway(int lastStream, ErrorCode code) throws Http2Exception {
            needSettings();
            spend(RateGuard.SETTINGS, "GOAWAY");
            boolean first = !peerDrains;
            peerDrains = true;
            if (!server) {
                for (Http2Stream s : streams.all()) {
                    if (s.id > lastStream) {
                        drop(s);
                        s.listener.onReset(
                                ErrorCode.REFUSED_STREAM,
                                true,
                                "the peer took no more streams: " + code);
                    }
                }
            }
            if (first) {
                watcher.onGoAway(Http2Connection.this);
            }
            closeIfDrained();
        }

        @Override
        public void windowUpdate(int id, int bytes) throws Http2Exception {
            needSettings();
            if (bytes == 0) {
                throw id == 0
                        ? connection(ErrorCode.PROTOCOL_ERROR, "WINDOW_UPDATE of 0")
                        : stream(ErrorCode.PROTOCOL_ERROR, id, "WINDOW_UPDATE of 0");
            }
            if (id == 0) {
                flow.granted(bytes);
            } else if (streams.isIdle(id)) {
                throw connection(
                        ErrorCode.PROTOCOL_ERROR,
                        "WINDOW_UPDATE on a stream that was never opened");
            } else {
                Http2Stream s = streams.get(id);
                if (s != null) {
                    s.sendWindow += bytes;
                    if (s.sendWindow > Integer.MAX_VALUE) {
                        throw stream(
                                ErrorCode.FLOW_CONTROL_ERROR,
                                id,
                                "the stream's window over 2^31 - 1");
                    }
                } else {
                    spend(RateGuard.UPDATE, "WINDOW_UPDATE");
                }
            }
            sendWaiting();
        }

        @Override
        public void unknown(int type) throws Http2Exception {
            needSettings();
            spend(RateGuard.UNKNOWN, "type " + type);
        }

        private void needSettings() throws Http2Exception {
            if (!settingsSeen) {
                throw connection(ErrorCode.PROTOCOL_ERROR, "the first frame has to be SETTINGS");
            }
        }

        private void spend(int points, String what) throws Http2Exception {
            guard.spend(points, System.nanoTime(), what);
        }

        /**
         * The open stream, or null where its frames are to be passed over: it ended a moment ago.
         */
        private Http2Stream known(int id, String what) throws Http2Exception {
            Http2Stream s = streams.get(id);
            if (s != null) {
                return s;
            }
            if (streams.isIdle(id)) {
                throw connection(
                        ErrorCode.PROTOCOL_ERROR, what + " on a stream that was never opened");
            }
            spend(RateGuard.TINY_DATA, what + " on a stream that has ended");
            if (!streams.wasResetHere(id)) {
                throw stream(ErrorCode.STREAM_CLOSED, id, what + " on a stream that has ended");
            }
            return null;
        }
    }
}
