package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import java.util.zip.Checksum;
import sorrelhoist.protocol.hpack.Headers;

/**
 * A client and a server connection that exchange their bytes in memory, in pieces of a given size.
 */
final class Pair {
    static final Headers REQUEST =
            new Headers()
                    .add(":method", "POST")
                    .add(":scheme", "http")
                    .add(":path", "/a")
                    .add(":authority", "x");
    final List<String> events = new ArrayList<>();
    final List<Http2Stream> serverStreams = new ArrayList<>();

    /** Stream ID and size of each piece of data that the client received. */
    final List<int[]> receivedPieces = new ArrayList<>();

    /** Checksum of all bytes that both sides have sent. */
    final CRC32 wireBytes = new CRC32();

    boolean autoCredit = true;
    final Http2Connection server;
    final Http2Connection client;
    final EmbeddedChannel serverChannel;
    final EmbeddedChannel clientChannel;
    private final int maxPieceBytes;

    Pair(Http2Limits serverLimits, Http2Limits clientLimits, int maxPieceBytes) {
        this.maxPieceBytes = maxPieceBytes;
        server =
                Http2Connection.server(
                        serverLimits,
                        (stream, headers, end) -> {
                            serverStreams.add(stream);
                            events.add("server opened " + stream.id() + " " + headers + " " + end);
                            return new StreamEventLog("server", stream);
                        },
                        new Http2Connection.Listener() {});
        client = Http2Connection.client(clientLimits, new Http2Connection.Listener() {});
        serverChannel = new EmbeddedChannel(server);
        clientChannel = new EmbeddedChannel(client);
        exchangeAll();
    }

    Pair() {
        this(Http2Limits.SERVER, Http2Limits.CLIENT, 0);
    }

    Http2Stream open(boolean end) {
        StreamEventLog log = new StreamEventLog("client", null);
        Http2Stream s = client.openStream(REQUEST, end, log);
        log.stream = s;
        return s;
    }

    void exchangeAll() {
        boolean moved = true;
        while (moved) {
            boolean toServer = transfer(clientChannel, serverChannel);
            boolean toClient = transfer(serverChannel, clientChannel);
            moved = toServer || toClient;
        }
    }

    /** Adds all bytes that a channel has sent to a checksum. */
    static void addSentBytes(EmbeddedChannel channel, Checksum sent) {
        for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            sent.update(ByteBufUtil.getBytes(out));
            out.release();
        }
    }

    private boolean transfer(EmbeddedChannel from, EmbeddedChannel to) {
        from.runPendingTasks();
        boolean moved = false;
        for (ByteBuf out = from.readOutbound(); out != null; out = from.readOutbound()) {
            moved = true;
            wireBytes.update(ByteBufUtil.getBytes(out));
            while (out.isReadable() && to.isOpen()) {
                int size =
                        maxPieceBytes == 0
                                ? out.readableBytes()
                                : Math.min(maxPieceBytes, out.readableBytes());
                to.writeInbound(Unpooled.copiedBuffer(out.readSlice(size)));
            }
            out.release();
        }
        to.runPendingTasks();
        return moved;
    }

    final class StreamEventLog implements Http2StreamListener {
        private final String side;
        private Http2Stream stream;

        StreamEventLog(String side, Http2Stream stream) {
            this.side = side;
            this.stream = stream;
        }

        @Override
        public void onHeaders(Headers headers, boolean end) {
            events.add(side + " headers " + headers + " " + end);
        }

        @Override
        public void onData(ByteBuf data, boolean end) {
            if (autoCredit) {
                stream.consumeBytes(data.readableBytes());
            }
            if (side.equals("client")) {
                receivedPieces.add(new int[] {stream.id(), data.readableBytes()});
            }
            events.add(side + " data " + data.readableBytes() + " " + end);
        }

        @Override
        public void onReset(ErrorCode code, boolean unprocessed, String why) {
            events.add(side + " reset " + code + " " + unprocessed);
        }
    }
}
