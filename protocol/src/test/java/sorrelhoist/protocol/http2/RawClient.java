package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.hpack.HpackEncoder;

/**
 * Sends raw frames to a server connection, and records the last RST_STREAM and GOAWAY that it
 * returns.
 */
final class RawClient {
    final EmbeddedChannel channel;
    private final HpackEncoder encoder = new HpackEncoder();
    private String reset = "";
    private String goAway = "";

    RawClient(Http2Limits limits) {
        Pair pair = new Pair();
        Http2Connection connection =
                Http2Connection.server(
                        limits,
                        (stream, headers, endStream) -> pair.new StreamEventLog("server", stream),
                        new Http2Connection.Listener() {});
        channel = new EmbeddedChannel(connection);
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
                readFrame(out);
            }
            out.release();
        }
    }

    private void readFrame(ByteBuf out) {
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
