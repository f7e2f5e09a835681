package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.hpack.HpackEncoder;

/** Streams, windows, turns and ends between two connections, and what a hostile peer gets. */
class Http2ConnectionTest {
    private static final Headers OK = new Headers().add(":status", "200");

    private static ByteBuf bytes(int n) {
        return Unpooled.wrappedBuffer(new byte[n]);
    }

    private static int sum(List<String> events, String prefix) {
        return events.stream()
                .filter(e -> e.startsWith(prefix))
                .mapToInt(e -> Integer.parseInt(e.split(" ")[2]))
                .sum();
    }

    @Test
    void aRequestIsAnsweredWithDataAndTrailersInOrder() {
        Pair p = new Pair();
        Http2Stream s = p.open(false);
        s.writeData(bytes(10), true);
        p.pump();
        Http2Stream served = p.opened.get(0);
        served.writeHeaders(OK, false);
        served.writeData(bytes(20), false);
        served.writeHeaders(new Headers().add("grpc-status", "0"), true);
        p.pump();
        assertEquals(
                List.of(
                        "server opened 1 " + Pair.REQUEST + " false",
                        "server data 10 true",
                        "client headers " + OK + " false",
                        "client data 20 false",
                        "client headers [HeaderField[name=grpc-status, value=0]] true"),
                p.events);
        assertEquals(0, p.client.openStreamCount());
        assertEquals(0, p.server.openStreamCount());
    }

    @Test
    void bytesCutAnywhereMeanTheSame() {
        List<String> whole = conversation(0);
        for (int piece = 1; piece <= 60; piece++) {
            assertEquals(whole, conversation(piece), "pieces of " + piece);
        }
    }

    private static List<String> conversation(int piece) {
        Pair p = new Pair(Http2Limits.SERVER, Http2Limits.CLIENT, piece);
        Http2Stream a = p.open(false);
        Http2Stream b = p.open(true);
        a.writeData(bytes(300), false);
        a.writeData(bytes(5), true);
        p.pump();
        for (Http2Stream s : List.copyOf(p.opened)) {
            s.writeHeaders(
                    new Headers().add(":status", "200").add("some-field", "v".repeat(200)), false);
            s.writeData(bytes(2000), false);
            s.writeHeaders(new Headers().add("t", "1"), true);
        }
        p.pump();
        return p.events.stream().map(e -> e.replaceAll(" data \\d+", " data")).distinct().toList();
    }

    @Test
    void aReaderThatGivesNoCreditHoldsItsOwnStreamAndNoOther() {
        Pair p = new Pair(Http2Limits.SERVER, Http2Limits.CLIENT.withStreamWindow(1000), 0);
        p.autoCredit = false;
        Http2Stream slow = p.open(true);
        Http2Stream other = p.open(true);
        p.pump();
        Http2Stream served = p.opened.get(0);
        served.writeHeaders(OK, false);
        served.writeData(bytes(5000), true);
        p.pump();
        assertEquals(1000, sum(p.events, "client data"));
        assertEquals(4000, served.pendingBytes());
        p.opened.get(1).writeHeaders(OK, false);
        p.opened.get(1).writeData(bytes(900), true);
        p.pump();
        assertEquals(1900, sum(p.events, "client data"));
        slow.consumeBytes(1000);
        p.pump();
        assertEquals(2900, sum(p.events, "client data"));
        other.consumeBytes(900);
        p.pump();
        assertTrue(other.isClosed(), "the stream beside the slow one is served to its end");
        assertFalse(slow.isClosed());
    }

    @Test
    void streamsThatWaitTakeTurnsByBytes() {
        Pair p =
                new Pair(
                        Http2Limits.SERVER.withStreamWindow(1 << 20),
                        new Http2Limits(
                                0,
                                16 << 10,
                                1 << 20,
                                Frames.DEFAULT_WINDOW_SIZE,
                                50_000,
                                100_000,
                                10_000_000,
                                16 << 20),
                        0);
        p.open(true);
        p.open(true);
        p.pump();
        Http2Stream bulk = p.opened.get(0);
        Http2Stream small = p.opened.get(1);
        bulk.writeHeaders(OK, false);
        small.writeHeaders(OK, false);
        bulk.writeData(bytes(1_000_000), false);
        for (int i = 0; i < 200; i++) {
            small.writeData(bytes(100), false);
        }
        assertTrue(bulk.pendingBytes() > 0);
        p.pump();
        assertEquals(0, small.pendingBytes());
        assertEquals(0, bulk.pendingBytes());
        int bulkBytes = 0;
        int smallBytes = 0;
        for (int[] piece : p.order) {
            bulkBytes += piece[0] == bulk.id() && smallBytes < 20_000 ? piece[1] : 0;
            smallBytes += piece[0] == small.id() ? piece[1] : 0;
        }
        assertEquals(20_000, smallBytes);
        // The first window went to the only stream that had work then; from there on they took
        // turns.
        assertTrue(
                bulkBytes <= Frames.DEFAULT_WINDOW_SIZE + 20_000 + 2 * 4096,
                "bulk sent " + bulkBytes);
    }

    @Test
    void goAwayTellsWhatWasNeverProcessed() {
        Pair p = new Pair();
        p.open(true);
        p.pump();
        p.open(true);
        p.clientChannel.runPendingTasks();
        while (p.clientChannel.readOutbound() instanceof ByteBuf lost) {
            lost.release();
        }
        p.server.close(ErrorCode.NO_ERROR, "ends");
        p.pump();
        assertTrue(p.events.contains("client reset REFUSED_STREAM true"), p.events.toString());
        // Two streams were open: the server had seen the first only, which may have run.
        assertEquals(
                1,
                p.events.stream()
                        .filter(e -> e.equals("client reset REFUSED_STREAM true"))
                        .count());
        assertNull(p.open(true));
    }

    @Test
    void aDrainingServerFinishesWhatIsOpenAndRefusesTheRest() {
        Pair p = new Pair();
        p.open(true);
        p.pump();
        p.server.shutdownGracefully();
        p.pump();
        assertNull(p.open(true));
        assertTrue(p.serverChannel.isOpen());
        p.opened.get(0).writeHeaders(OK, false);
        p.opened.get(0).writeData(bytes(5), true);
        p.pump();
        assertTrue(p.events.contains("client data 5 true"));
        assertFalse(p.serverChannel.isOpen());
    }

    @Test
    void streamsBeyondTheLimitAreRefusedAsNotProcessed() {
        Pair p = new Pair(Http2Limits.SERVER.withMaxStreams(1), Http2Limits.CLIENT, 0);
        p.open(true);
        assertNull(p.open(true));
        Raw raw = new Raw(Http2Limits.SERVER.withMaxStreams(1));
        raw.headers(1, Pair.REQUEST, true);
        raw.headers(3, Pair.REQUEST, true);
        assertEquals("RST_STREAM REFUSED_STREAM", raw.last(Frames.RST_STREAM));
        assertTrue(raw.channel.isOpen());
    }

    /** Writes frames by hand to a serving side. */
    private static final class Raw {
        final EmbeddedChannel channel;
        private final HpackEncoder encoder = new HpackEncoder();
        private String reset = "";
        private String goAway = "";

        Raw(Http2Limits limits) {
            Pair p = new Pair();
            Http2Connection c =
                    Http2Connection.server(
                            limits,
                            (stream, headers, end) -> p.new Log("server", stream),
                            new Http2Connection.Listener() {});
            channel = new EmbeddedChannel(c);
            send(Unpooled.copiedBuffer(Frames.PREFACE, StandardCharsets.US_ASCII));
            frame(Frames.SETTINGS, 0, 0);
        }

        void send(ByteBuf bytes) {
            if (channel.isOpen()) {
                channel.writeInbound(bytes);
                channel.runPendingTasks();
            } else {
                bytes.release();
            }
            for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
                while (out.readableBytes() >= Frames.HEADER_SIZE) {
                    int length = out.readUnsignedMedium();
                    int type = out.readUnsignedByte();
                    out.skipBytes(5);
                    ByteBuf body = out.readSlice(length);
                    if (type == Frames.RST_STREAM) {
                        reset = "RST_STREAM " + ErrorCode.of(body.readUnsignedInt());
                    } else if (type == Frames.GOAWAY) {
                        goAway = "GOAWAY " + ErrorCode.of(body.skipBytes(4).readUnsignedInt());
                    }
                }
                out.release();
            }
        }

        void frame(int type, int flags, int stream, int... body) {
            ByteBuf out =
                    Unpooled.buffer()
                            .writeMedium(body.length)
                            .writeByte(type)
                            .writeByte(flags)
                            .writeInt(stream);
            for (int b : body) {
                out.writeByte(b);
            }
            send(out);
        }

        void headers(int stream, Headers headers, boolean end) {
            ByteBuf block = Unpooled.buffer();
            encoder.encode(headers, block);
            ByteBuf out =
                    Unpooled.buffer()
                            .writeMedium(block.readableBytes())
                            .writeByte(Frames.HEADERS)
                            .writeByte(Frames.END_HEADERS | (end ? Frames.END_STREAM : 0))
                            .writeInt(stream)
                            .writeBytes(block);
            send(out);
        }

        String last(int type) {
            return type == Frames.GOAWAY ? goAway : reset;
        }
    }

    private static void costsTheConnection(ErrorCode code, Consumer<Raw> deed) {
        Raw raw = new Raw(Http2Limits.SERVER);
        deed.accept(raw);
        assertEquals("GOAWAY " + code, raw.last(Frames.GOAWAY));
        assertFalse(raw.channel.isOpen());
    }

    @Test
    void malformedFramesCostTheConnectionWithTheCodeOfTheRfc() {
        costsTheConnection(ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.DATA, 0, 0, 1));
        costsTheConnection(ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.DATA, 0, 1, 1));
        costsTheConnection(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.DATA, Frames.PADDED, 1, 9, 1));
        costsTheConnection(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.RST_STREAM, 0, 1, 0, 0, 0, 0));
        costsTheConnection(
                ErrorCode.FRAME_SIZE_ERROR, r -> r.frame(Frames.RST_STREAM, 0, 1, 0, 0, 0));
        costsTheConnection(ErrorCode.FRAME_SIZE_ERROR, r -> r.frame(Frames.PING, 0, 0, 1));
        costsTheConnection(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.PING, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0));
        costsTheConnection(ErrorCode.FRAME_SIZE_ERROR, r -> r.frame(Frames.SETTINGS, 0, 0, 1));
        costsTheConnection(
                ErrorCode.FRAME_SIZE_ERROR, r -> r.frame(Frames.SETTINGS, Frames.ACK, 0, 1));
        costsTheConnection(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.SETTINGS, 0, 0, 0, 2, 0, 0, 0, 7));
        costsTheConnection(
                ErrorCode.FLOW_CONTROL_ERROR,
                r -> r.frame(Frames.SETTINGS, 0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff));
        costsTheConnection(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.SETTINGS, 0, 0, 0, 5, 0, 0, 0, 1));
        costsTheConnection(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.WINDOW_UPDATE, 0, 0, 0, 0, 0, 0));
        costsTheConnection(
                ErrorCode.FLOW_CONTROL_ERROR,
                r -> r.frame(Frames.WINDOW_UPDATE, 0, 0, 0x7f, 0xff, 0xff, 0xff));
        costsTheConnection(ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.CONTINUATION, 4, 1, 0));
        costsTheConnection(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.PUSH_PROMISE, 4, 1, 0, 0, 0, 2));
        costsTheConnection(ErrorCode.COMPRESSION_ERROR, r -> r.frame(Frames.HEADERS, 5, 1, 0x80));
        costsTheConnection(
                ErrorCode.FRAME_SIZE_ERROR,
                r ->
                        r.send(
                                Unpooled.buffer()
                                        .writeMedium(1 << 20)
                                        .writeByte(0)
                                        .writeByte(0)
                                        .writeInt(1)));
        costsTheConnection(
                ErrorCode.PROTOCOL_ERROR,
                r -> {
                    r.frame(Frames.HEADERS, 0, 1, 0x82);
                    r.frame(Frames.PING, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
                });
    }

    @Test
    void floodsCostTheConnection() {
        costsTheConnection(
                ErrorCode.ENHANCE_YOUR_CALM,
                r -> {
                    for (int i = 1; i < 4000; i += 2) {
                        r.headers(i, Pair.REQUEST, true);
                        r.frame(Frames.RST_STREAM, 0, i, 0, 0, 0, 8);
                    }
                });
        costsTheConnection(
                ErrorCode.ENHANCE_YOUR_CALM,
                r -> {
                    for (int i = 0; i < 4000; i++) {
                        r.frame(Frames.PING, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
                    }
                });
        costsTheConnection(
                ErrorCode.ENHANCE_YOUR_CALM,
                r -> {
                    for (int i = 0; i < 2000; i++) {
                        r.frame(Frames.SETTINGS, 0, 0);
                    }
                });
        costsTheConnection(
                ErrorCode.ENHANCE_YOUR_CALM,
                r -> {
                    r.frame(Frames.HEADERS, 0, 1, 0x82);
                    for (int i = 0; i < 2000; i++) {
                        r.frame(Frames.CONTINUATION, 0, 1);
                    }
                });
        costsTheConnection(
                ErrorCode.ENHANCE_YOUR_CALM,
                r -> {
                    r.headers(1, Pair.REQUEST, false);
                    for (int i = 0; i < 2000; i++) {
                        r.frame(Frames.DATA, 0, 1);
                    }
                });
        costsTheConnection(
                ErrorCode.ENHANCE_YOUR_CALM,
                r -> {
                    r.headers(1, Pair.REQUEST, false);
                    for (int i = 0; i < 20_000; i++) {
                        r.frame(Frames.DATA, 0, 1, 7);
                    }
                });
        costsTheConnection(
                ErrorCode.ENHANCE_YOUR_CALM,
                r -> {
                    Headers bomb =
                            new Headers()
                                    .add(":method", "POST")
                                    .add(":scheme", "http")
                                    .add(":path", "/");
                    for (int i = 0; i < 500; i++) {
                        bomb.add("a", "b".repeat(60));
                    }
                    r.headers(1, bomb, true);
                });
    }

    @Test
    void creditThatComesAfterTheEndCostsABusyClientNothing() {
        Pair p = new Pair(Http2Limits.SERVER.withFloodPoints(1, 50), Http2Limits.CLIENT, 0);
        p.autoCredit = false;
        for (int i = 0; i < 300; i++) {
            p.open(true);
            p.pump();
            Http2Stream s = p.opened.get(i);
            s.writeHeaders(new Headers().add(":status", "200"), false);
            for (int k = 0; k < 8; k++) {
                s.writeData(io.netty.buffer.Unpooled.wrappedBuffer(new byte[20]), k == 7);
            }
            p.pump();
            // Some clients end a stream once more instead of crediting the last frame.
            for (int k = 0; k < 7; k++) {
                p.serverChannel.writeInbound(
                        Frames.windowUpdate(p.serverChannel.alloc(), s.id(), 20));
            }
            p.serverChannel.writeInbound(
                    Frames.rstStream(p.serverChannel.alloc(), s.id(), ErrorCode.CANCEL));
            assertTrue(p.serverChannel.isOpen(), "after " + i + " requests");
        }
        for (int k = 0; k < 100 && p.serverChannel.isOpen(); k++) {
            p.serverChannel.writeInbound(
                    Frames.windowUpdate(p.serverChannel.alloc(), p.opened.get(0).id(), 20));
        }
        assertFalse(p.serverChannel.isOpen(), "credit for nothing is still a flood");
    }

    @Test
    void aStreamsOwnFaultCostsTheStreamAlone() {
        Raw raw = new Raw(Http2Limits.SERVER);
        raw.headers(1, new Headers().add(":method", "POST").add(":path", "/"), true);
        assertEquals("RST_STREAM PROTOCOL_ERROR", raw.last(Frames.RST_STREAM));
        raw.headers(3, new Headers().addAll(Pair.REQUEST).add("Upper", "x"), true);
        assertEquals("RST_STREAM PROTOCOL_ERROR", raw.last(Frames.RST_STREAM));
        raw.headers(5, Pair.REQUEST, true);
        raw.frame(Frames.DATA, 0, 5, 1, 2, 3);
        assertEquals("RST_STREAM STREAM_CLOSED", raw.last(Frames.RST_STREAM));
        raw.headers(7, Pair.REQUEST, false);
        for (int i = 0; i < 5; i++) {
            raw.send(
                    Unpooled.buffer()
                            .writeMedium(16384)
                            .writeByte(0)
                            .writeByte(0)
                            .writeInt(7)
                            .writeZero(16384));
        }
        raw.headers(9, Pair.REQUEST, false);
        raw.frame(Frames.WINDOW_UPDATE, 0, 9, 0x7f, 0xff, 0xff, 0xff);
        assertEquals("RST_STREAM FLOW_CONTROL_ERROR", raw.last(Frames.RST_STREAM));
        assertTrue(raw.channel.isOpen());
    }

    @Test
    void aClientThatSpeaksNoHttp2IsToldSo() {
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        Http2Connection.server(
                                Http2Limits.SERVER,
                                (stream, headers, end) -> null,
                                new Http2Connection.Listener() {}));
        channel.writeInbound(
                Unpooled.copiedBuffer("GET / HTTP/1.1\r\n\r\n", StandardCharsets.US_ASCII));
        channel.runPendingTasks();
        assertFalse(channel.isOpen());
    }

    @Test
    void aHeaderBlockThatNeverEndsCostsTheConnectionInTime() throws InterruptedException {
        Raw raw = new Raw(Http2Limits.SERVER.withStallTimeout(20_000));
        raw.frame(Frames.HEADERS, 0, 1, 0x82);
        long bound = System.nanoTime() + 5_000_000_000L;
        while (raw.channel.isOpen() && System.nanoTime() < bound) {
            raw.channel.runScheduledPendingTasks();
            raw.channel.runPendingTasks();
            Thread.onSpinWait();
        }
        assertFalse(raw.channel.isOpen());
    }

    @Test
    void anAnswerThatItsClientNeverTakesIsGivenUpInTimeAndOthersAreNot() {
        Pair p =
                new Pair(
                        Http2Limits.SERVER.withStallTimeout(20_000),
                        Http2Limits.CLIENT.withStreamWindow(100),
                        0);
        p.autoCredit = false;
        p.open(true);
        p.open(true);
        p.pump();
        p.opened.forEach(s -> s.writeHeaders(OK, false));
        p.opened.get(0).writeData(bytes(500), true);
        p.opened.get(1).writeData(bytes(500), false);
        p.pump();
        long bound = System.nanoTime() + 5_000_000_000L;
        while (!p.events.contains("client reset CANCEL false") && System.nanoTime() < bound) {
            p.serverChannel.runScheduledPendingTasks();
            p.pump();
        }
        assertTrue(p.events.contains("client reset CANCEL false"), p.events.toString());
        assertTrue(p.opened.get(0).isClosed());
        assertFalse(p.opened.get(1).isClosed());
        assertEquals(400, p.opened.get(1).pendingBytes());
    }
}
