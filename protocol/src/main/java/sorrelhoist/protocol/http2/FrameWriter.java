package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.hpack.HpackEncoder;

/** Writes frames to one connection. Owns the compression state for sent header blocks. */
final class FrameWriter {
    /**
     * DATA payloads up to this size are copied into the buffer of the frame header, so that one
     * buffer is written instead of two.
     */
    private static final int MAX_COPIED_BYTES = 1 << 10;

    private static final int HEADER_BLOCK_CAPACITY = 256;
    private final ConnectionChannel channel;
    private final HpackEncoder encoder;
    private final RemoteSettings remote;

    FrameWriter(ConnectionChannel channel, HpackEncoder encoder, RemoteSettings remote) {
        this.channel = channel;
        this.encoder = encoder;
        this.remote = remote;
    }

    void preface() {
        byte[] preface = Frames.PREFACE.getBytes(StandardCharsets.US_ASCII);
        channel.write(channel.allocator().buffer().writeBytes(preface));
    }

    /** Writes SETTINGS from alternating identifiers and values. */
    void settings(int... pairs) {
        channel.write(Frames.settings(channel.allocator(), pairs));
    }

    void settingsAck() {
        channel.write(Frames.settingsAck(channel.allocator()));
    }

    void ping(boolean ack, long content) {
        channel.write(Frames.ping(channel.allocator(), ack, content));
    }

    void windowUpdate(int streamId, int increment) {
        channel.write(Frames.windowUpdate(channel.allocator(), streamId, increment));
    }

    void rstStream(int streamId, ErrorCode code) {
        channel.write(Frames.rstStream(channel.allocator(), streamId, code));
    }

    void goAway(int lastStreamId, ErrorCode code, String debugData) {
        channel.write(Frames.goAway(channel.allocator(), lastStreamId, code, debugData));
    }

    /** Writes a header list as HEADERS and, if needed, CONTINUATION frames. */
    void headers(int streamId, Headers headers, boolean endStream) {
        ByteBuf block = channel.allocator().buffer(HEADER_BLOCK_CAPACITY);
        encoder.encode(headers, block);
        int endStreamFlag = endStream ? Frames.END_STREAM : 0;
        headerFragment(Frames.HEADERS, endStreamFlag, streamId, block);
        while (block.isReadable()) {
            headerFragment(Frames.CONTINUATION, 0, streamId, block);
        }
        block.release();
    }

    private void headerFragment(int type, int flags, int streamId, ByteBuf block) {
        int size = Math.min(block.readableBytes(), remote.maxFrameSize());
        boolean last = size == block.readableBytes();
        int allFlags = flags | (last ? Frames.END_HEADERS : 0);
        channel.write(
                Frames.header(channel.allocator(), size, type, allFlags, streamId, size)
                        .writeBytes(block, size));
    }

    /** Writes DATA and takes ownership of the payload. */
    void data(int streamId, ByteBuf payload, boolean endStream) {
        int size = payload.readableBytes();
        int flags = endStream ? Frames.END_STREAM : 0;
        boolean copied = size <= MAX_COPIED_BYTES;
        ByteBuf header =
                Frames.header(
                        channel.allocator(), size, Frames.DATA, flags, streamId, copied ? size : 0);
        if (copied) {
            header.writeBytes(payload);
            payload.release();
            channel.write(header);
        } else {
            channel.write(header);
            channel.write(payload);
        }
    }
}
