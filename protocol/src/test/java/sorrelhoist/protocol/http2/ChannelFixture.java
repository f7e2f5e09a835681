package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import sorrelhoist.protocol.hpack.HpackEncoder;

/**
 * An in-memory channel for testing one part of a connection, with a log of the frames that the part
 * has sent.
 */
final class ChannelFixture {
    final EmbeddedChannel embedded = new EmbeddedChannel(new ChannelInboundHandlerAdapter());
    final ConnectionChannel channel = new ConnectionChannel(1 << 20, () -> {});
    final RemoteSettings remote = new RemoteSettings(true, new HpackEncoder());
    final FrameWriter writer = new FrameWriter(channel, new HpackEncoder(), remote);

    ChannelFixture() {
        channel.attach(embedded.pipeline().firstContext());
    }

    /**
     * {@return the frames sent since the last call as text: type, stream ID and the fields listed
     * in {@link FrameLog}}
     */
    List<String> sent() {
        embedded.runPendingTasks();
        ByteBuf sent = Unpooled.buffer();
        for (ByteBuf out = embedded.readOutbound(); out != null; out = embedded.readOutbound()) {
            sent.writeBytes(out);
            out.release();
        }
        FrameReader reader = new FrameReader(Frames.DEFAULT_FRAME_SIZE);
        FrameLog log = new FrameLog();
        try {
            while (reader.next(sent, log)) {
                // The log records the frame.
            }
        } catch (Http2Exception e) {
            throw new AssertionError(e);
        }
        return log.frames;
    }

    /** Records frames as text, in wire order. */
    static final class FrameLog implements FrameListener {
        final List<String> frames = new ArrayList<>();

        @Override
        public void onData(int streamId, ByteBuf payload, int flowControlled, boolean endStream) {
            frames.add("DATA " + streamId + " " + payload.readableBytes() + " " + endStream);
        }

        @Override
        public void onHeaders(int streamId, ByteBuf block, boolean endStream, boolean end) {
            frames.add("HEADERS " + streamId + " " + endStream);
        }

        @Override
        public void onContinuation(int streamId, ByteBuf fragment, boolean endHeaders) {
            frames.add("CONTINUATION " + streamId);
        }

        @Override
        public void onPriority(int streamId) {
            frames.add("PRIORITY " + streamId);
        }

        @Override
        public void onReset(int streamId, ErrorCode code) {
            frames.add("RST_STREAM " + streamId + " " + code);
        }

        @Override
        public void onSettings(ByteBuf settings) {
            frames.add("SETTINGS");
        }

        @Override
        public void onSettingsAck() {
            frames.add("SETTINGS ACK");
        }

        @Override
        public void onPing(boolean ack, long content) {
            frames.add("PING " + ack);
        }

        @Override
        public void onGoAway(int lastStreamId, ErrorCode code) {
            frames.add("GOAWAY " + lastStreamId + " " + code);
        }

        @Override
        public void onWindowUpdate(int streamId, int increment) {
            frames.add("WINDOW_UPDATE " + streamId + " " + increment);
        }

        @Override
        public void onUnknown(int type) {
            frames.add("type " + type);
        }
    }
}
