package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import sorrelhoist.protocol.hpack.Headers;

/**
 * Tests the reaction to peers that violate the protocol, flood the connection, or do not read what
 * they requested.
 */
class HostilePeerTest {
    private static final Headers OK = new Headers().add(":status", "200");

    private static ByteBuf bytes(int n) {
        return Unpooled.wrappedBuffer(new byte[n]);
    }

    private static void assertConnectionError(ErrorCode code, Consumer<RawClient> action) {
        RawClient raw = new RawClient(Http2Limits.SERVER);
        action.accept(raw);
        assertEquals("GOAWAY " + code, raw.last(Frames.GOAWAY));
        assertFalse(raw.channel.isOpen());
    }

    @Test
    void framesWithWrongSizeOrStreamAreConnectionErrors() {
        assertConnectionError(ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.DATA, 0, 0, 1));
        assertConnectionError(ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.DATA, 0, 1, 1));
        assertConnectionError(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.DATA, Frames.PADDED, 1, 9, 1));
        assertConnectionError(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.RST_STREAM, 0, 1, 0, 0, 0, 0));
        assertConnectionError(
                ErrorCode.FRAME_SIZE_ERROR, r -> r.frame(Frames.RST_STREAM, 0, 1, 0, 0, 0));
        assertConnectionError(ErrorCode.FRAME_SIZE_ERROR, r -> r.frame(Frames.PING, 0, 0, 1));
        assertConnectionError(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.PING, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0));
        assertConnectionError(ErrorCode.FRAME_SIZE_ERROR, r -> r.frame(Frames.SETTINGS, 0, 0, 1));
        assertConnectionError(
                ErrorCode.FRAME_SIZE_ERROR, r -> r.frame(Frames.SETTINGS, Frames.ACK, 0, 1));
    }

    @Test
    void malformedFramesAreConnectionErrors() {
        assertConnectionError(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.SETTINGS, 0, 0, 0, 2, 0, 0, 0, 7));
        assertConnectionError(
                ErrorCode.FLOW_CONTROL_ERROR,
                r -> r.frame(Frames.SETTINGS, 0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff));
        assertConnectionError(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.SETTINGS, 0, 0, 0, 5, 0, 0, 0, 1));
        assertConnectionError(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.WINDOW_UPDATE, 0, 0, 0, 0, 0, 0));
        assertConnectionError(
                ErrorCode.FLOW_CONTROL_ERROR,
                r -> r.frame(Frames.WINDOW_UPDATE, 0, 0, 0x7f, 0xff, 0xff, 0xff));
        assertConnectionError(ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.CONTINUATION, 4, 1, 0));
        assertConnectionError(
                ErrorCode.PROTOCOL_ERROR, r -> r.frame(Frames.PUSH_PROMISE, 4, 1, 0, 0, 0, 2));
        assertConnectionError(
                ErrorCode.COMPRESSION_ERROR, r -> r.frame(Frames.HEADERS, 5, 1, 0x80));
        assertConnectionError(
                ErrorCode.FRAME_SIZE_ERROR,
                r ->
                        r.send(
                                Unpooled.buffer()
                                        .writeMedium(1 << 20)
                                        .writeByte(0)
                                        .writeByte(0)
                                        .writeInt(1)));
        assertConnectionError(
                ErrorCode.PROTOCOL_ERROR,
                r -> {
                    r.frame(Frames.HEADERS, 0, 1, 0x82);
                    r.frame(Frames.PING, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
                });
    }

    private static void assertRejectedAsFlood(Consumer<RawClient> action) {
        assertConnectionError(ErrorCode.ENHANCE_YOUR_CALM, action);
    }

    @Test
    void floodsOfControlFramesCloseTheConnection() {
        assertRejectedAsFlood(
                r -> {
                    for (int i = 1; i < 4000; i += 2) {
                        r.headers(i, Pair.REQUEST, true);
                        r.frame(Frames.RST_STREAM, 0, i, 0, 0, 0, 8);
                    }
                });
        assertRejectedAsFlood(
                r -> {
                    for (int i = 0; i < 4000; i++) {
                        r.frame(Frames.PING, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
                    }
                });
        assertRejectedAsFlood(
                r -> {
                    for (int i = 0; i < 2000; i++) {
                        r.frame(Frames.SETTINGS, 0, 0);
                    }
                });
    }

    @Test
    void floodsOfEmptyAndTinyFramesCloseTheConnection() {
        assertRejectedAsFlood(
                r -> {
                    r.frame(Frames.HEADERS, 0, 1, 0x82);
                    for (int i = 0; i < 2000; i++) {
                        r.frame(Frames.CONTINUATION, 0, 1);
                    }
                });
        assertRejectedAsFlood(
                r -> {
                    r.headers(1, Pair.REQUEST, false);
                    for (int i = 0; i < 2000; i++) {
                        r.frame(Frames.DATA, 0, 1);
                    }
                });
        assertRejectedAsFlood(
                r -> {
                    r.headers(1, Pair.REQUEST, false);
                    for (int i = 0; i < 20_000; i++) {
                        r.frame(Frames.DATA, 0, 1, 7);
                    }
                });
    }

    @Test
    void oversizedHeaderListClosesTheConnection() {
        Headers oversized =
                new Headers().add(":method", "POST").add(":scheme", "http").add(":path", "/");
        for (int i = 0; i < 500; i++) {
            oversized.add("a", "b".repeat(60));
        }
        assertRejectedAsFlood(r -> r.headers(1, oversized, true));
    }

    @Test
    void windowUpdatesAfterStreamEndAreNotAFlood() {
        Pair pair = new Pair(Http2Limits.SERVER.withFrameCostLimits(1, 50), Http2Limits.CLIENT, 0);
        pair.autoCredit = false;
        for (int i = 0; i < 300; i++) {
            pair.open(true);
            pair.exchangeAll();
            Http2Stream stream = pair.serverStreams.get(i);
            stream.writeHeaders(new Headers().add(":status", "200"), false);
            for (int k = 0; k < 8; k++) {
                stream.writeData(Unpooled.wrappedBuffer(new byte[20]), k == 7);
            }
            pair.exchangeAll();
            // Some clients reset the stream instead of returning credit for the last frame.
            for (int k = 0; k < 7; k++) {
                pair.serverChannel.writeInbound(
                        Frames.windowUpdate(pair.serverChannel.alloc(), stream.id(), 20));
            }
            pair.serverChannel.writeInbound(
                    Frames.rstStream(pair.serverChannel.alloc(), stream.id(), ErrorCode.CANCEL));
            assertTrue(pair.serverChannel.isOpen(), "connection closed after " + i + " requests");
        }
        for (int k = 0; k < 100 && pair.serverChannel.isOpen(); k++) {
            pair.serverChannel.writeInbound(
                    Frames.windowUpdate(
                            pair.serverChannel.alloc(), pair.serverStreams.get(0).id(), 20));
        }
        assertFalse(
                pair.serverChannel.isOpen(),
                "WINDOW_UPDATE frames without DATA must count as a flood");
    }

    @Test
    void streamErrorResetsOnlyItsStream() {
        RawClient raw = new RawClient(Http2Limits.SERVER);
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
    void clientWithoutHttp2PrefaceIsDisconnected() {
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
    void incompleteHeaderBlockTimesOut() throws InterruptedException {
        RawClient raw = new RawClient(Http2Limits.SERVER.withStallTimeout(20_000));
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
    void unreadCompleteAnswerTimesOutAndOpenOneDoesNot() {
        Pair pair =
                new Pair(
                        Http2Limits.SERVER.withStallTimeout(20_000),
                        Http2Limits.CLIENT.withStreamWindow(100),
                        0);
        pair.autoCredit = false;
        pair.open(true);
        pair.open(true);
        pair.exchangeAll();
        pair.serverStreams.forEach(stream -> stream.writeHeaders(OK, false));
        pair.serverStreams.get(0).writeData(bytes(500), true);
        pair.serverStreams.get(1).writeData(bytes(500), false);
        pair.exchangeAll();
        long bound = System.nanoTime() + 5_000_000_000L;
        while (!pair.events.contains("client reset CANCEL false") && System.nanoTime() < bound) {
            pair.serverChannel.runScheduledPendingTasks();
            pair.exchangeAll();
        }
        assertTrue(pair.events.contains("client reset CANCEL false"), pair.events.toString());
        assertTrue(pair.serverStreams.get(0).isClosed());
        assertFalse(pair.serverStreams.get(1).isClosed());
        assertEquals(400, pair.serverStreams.get(1).pendingBytes());
    }
}
