package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.protocol.hpack.Headers;

/** Tests streams, flow control, stream scheduling and shutdown between two connections. */
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
        Pair pair = new Pair();
        Http2Stream stream = pair.open(false);
        stream.writeData(bytes(10), true);
        pair.exchangeAll();
        Http2Stream served = pair.serverStreams.get(0);
        served.writeHeaders(OK, false);
        served.writeData(bytes(20), false);
        served.writeHeaders(new Headers().add("grpc-status", "0"), true);
        pair.exchangeAll();
        assertEquals(
                List.of(
                        "server opened 1 " + Pair.REQUEST + " false",
                        "server data 10 true",
                        "client headers " + OK + " false",
                        "client data 20 false",
                        "client headers [HeaderField[name=grpc-status, value=0]] true"),
                pair.events);
        assertEquals(0, pair.client.openStreamCount());
        assertEquals(0, pair.server.openStreamCount());
    }

    @Test
    void eventsDoNotDependOnReadSizes() {
        List<String> whole = conversation(0);
        for (int piece = 1; piece <= 60; piece++) {
            assertEquals(whole, conversation(piece), "pieces of " + piece);
        }
    }

    private static List<String> conversation(int piece) {
        Pair pair = new Pair(Http2Limits.SERVER, Http2Limits.CLIENT, piece);
        Http2Stream stream = pair.open(false);
        pair.open(true);
        stream.writeData(bytes(300), false);
        stream.writeData(bytes(5), true);
        pair.exchangeAll();
        for (Http2Stream served : List.copyOf(pair.serverStreams)) {
            served.writeHeaders(
                    new Headers().add(":status", "200").add("some-field", "v".repeat(200)), false);
            served.writeData(bytes(2000), false);
            served.writeHeaders(new Headers().add("t", "1"), true);
        }
        pair.exchangeAll();
        return pair.events.stream()
                .map(e -> e.replaceAll(" data \\d+", " data"))
                .distinct()
                .toList();
    }

    @Test
    void readerWithoutCreditBlocksOnlyItsOwnStream() {
        Pair pair = new Pair(Http2Limits.SERVER, Http2Limits.CLIENT.withStreamWindow(1000), 0);
        pair.autoCredit = false;
        Http2Stream slow = pair.open(true);
        Http2Stream other = pair.open(true);
        pair.exchangeAll();
        Http2Stream served = pair.serverStreams.get(0);
        served.writeHeaders(OK, false);
        served.writeData(bytes(5000), true);
        pair.exchangeAll();
        assertEquals(1000, sum(pair.events, "client data"));
        assertEquals(4000, served.pendingBytes());
        pair.serverStreams.get(1).writeHeaders(OK, false);
        pair.serverStreams.get(1).writeData(bytes(900), true);
        pair.exchangeAll();
        assertEquals(1900, sum(pair.events, "client data"));
        slow.consumeBytes(1000);
        pair.exchangeAll();
        assertEquals(2900, sum(pair.events, "client data"));
        other.consumeBytes(900);
        pair.exchangeAll();
        assertTrue(other.isClosed(), "a stream must complete while another one is blocked");
        assertFalse(slow.isClosed());
    }

    @Test
    void waitingStreamsAreScheduledRoundRobinByBytes() {
        Pair pair =
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
        pair.open(true);
        pair.open(true);
        pair.exchangeAll();
        Http2Stream bulk = pair.serverStreams.get(0);
        Http2Stream small = pair.serverStreams.get(1);
        bulk.writeHeaders(OK, false);
        small.writeHeaders(OK, false);
        bulk.writeData(bytes(1_000_000), false);
        for (int i = 0; i < 200; i++) {
            small.writeData(bytes(100), false);
        }
        assertTrue(bulk.pendingBytes() > 0);
        pair.exchangeAll();
        assertEquals(0, small.pendingBytes());
        assertEquals(0, bulk.pendingBytes());
        int bulkBytes = 0;
        int smallBytes = 0;
        for (int[] piece : pair.receivedPieces) {
            bulkBytes += piece[0] == bulk.id() && smallBytes < 20_000 ? piece[1] : 0;
            smallBytes += piece[0] == small.id() ? piece[1] : 0;
        }
        assertEquals(20_000, smallBytes);
        // The bulk stream used the whole first window while it was the only scheduled stream.
        // Afterwards both streams were scheduled in turn.
        assertTrue(
                bulkBytes <= Frames.DEFAULT_WINDOW_SIZE + 20_000 + 2 * 4096,
                "bulk sent " + bulkBytes);
    }

    @Test
    void goAwayReportsUnprocessedStreams() {
        Pair pair = new Pair();
        pair.open(true);
        pair.exchangeAll();
        pair.open(true);
        pair.clientChannel.runPendingTasks();
        while (pair.clientChannel.readOutbound() instanceof ByteBuf lost) {
            lost.release();
        }
        pair.server.close(ErrorCode.NO_ERROR, "ends");
        pair.exchangeAll();
        assertTrue(
                pair.events.contains("client reset REFUSED_STREAM true"), pair.events.toString());
        // Two streams were open. The server received only the first one, which may have run.
        assertEquals(
                1,
                pair.events.stream()
                        .filter(e -> e.equals("client reset REFUSED_STREAM true"))
                        .count());
        assertNull(pair.open(true));
    }

    @Test
    void drainingServerFinishesOpenStreamsAndRefusesNewOnes() {
        Pair pair = new Pair();
        pair.open(true);
        pair.exchangeAll();
        pair.server.shutdownGracefully();
        pair.exchangeAll();
        assertNull(pair.open(true));
        assertTrue(pair.serverChannel.isOpen());
        pair.serverStreams.get(0).writeHeaders(OK, false);
        pair.serverStreams.get(0).writeData(bytes(5), true);
        pair.exchangeAll();
        assertTrue(pair.events.contains("client data 5 true"));
        assertFalse(pair.serverChannel.isOpen());
    }

    @Test
    void streamsBeyondTheLimitAreRefusedAsUnprocessed() {
        Pair pair = new Pair(Http2Limits.SERVER.withMaxStreams(1), Http2Limits.CLIENT, 0);
        pair.open(true);
        assertNull(pair.open(true));
        RawClient raw = new RawClient(Http2Limits.SERVER.withMaxStreams(1));
        raw.headers(1, Pair.REQUEST, true);
        raw.headers(3, Pair.REQUEST, true);
        assertEquals("RST_STREAM REFUSED_STREAM", raw.last(Frames.RST_STREAM));
        assertTrue(raw.channel.isOpen());
    }
}
