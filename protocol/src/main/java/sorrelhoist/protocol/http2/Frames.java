package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** Constants of the frame formats of RFC 9113 sections 4 and 6, and encoders for frames. */
final class Frames {
    static final int HEADER_SIZE = 9;

    static final int DATA = 0;
    static final int HEADERS = 1;
    static final int PRIORITY = 2;
    static final int RST_STREAM = 3;
    static final int SETTINGS = 4;
    static final int PUSH_PROMISE = 5;
    static final int PING = 6;
    static final int GOAWAY = 7;
    static final int WINDOW_UPDATE = 8;
    static final int CONTINUATION = 9;

    static final int END_STREAM = 0x1;
    static final int ACK = 0x1;
    static final int END_HEADERS = 0x4;
    static final int PADDED = 0x8;
    static final int HAS_PRIORITY = 0x20;

    static final int HEADER_TABLE_SIZE = 1;
    static final int ENABLE_PUSH = 2;
    static final int MAX_CONCURRENT_STREAMS = 3;
    static final int INITIAL_WINDOW_SIZE = 4;
    static final int MAX_FRAME_SIZE = 5;
    static final int MAX_HEADER_LIST_SIZE = 6;

    static final int PRIORITY_SIZE = 5;
    static final int RST_STREAM_SIZE = 4;
    static final int SETTING_SIZE = 6;
    static final int PING_SIZE = 8;
    static final int GOAWAY_MIN_SIZE = 8;
    static final int WINDOW_UPDATE_SIZE = 4;

    static final int DEFAULT_FRAME_SIZE = 16 << 10;
    static final int DEFAULT_WINDOW_SIZE = 65_535;
    static final int MAX_WINDOW_SIZE = Integer.MAX_VALUE;
    static final int MAX_STREAM_ID = Integer.MAX_VALUE;
    static final String PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

    private static final int MAX_DEBUG_DATA = 256;

    private Frames() {}

    /** {@return a buffer with a frame header and capacity for {@code room} more bytes} */
    static ByteBuf header(
            ByteBufAllocator alloc, int length, int type, int flags, int streamId, int room) {
        return alloc.buffer(HEADER_SIZE + room)
                .writeMedium(length)
                .writeByte(type)
                .writeByte(flags)
                .writeInt(streamId);
    }

    private static ByteBuf header(
            ByteBufAllocator alloc, int length, int type, int flags, int streamId) {
        return header(alloc, length, type, flags, streamId, length);
    }

    static ByteBuf rstStream(ByteBufAllocator alloc, int streamId, ErrorCode code) {
        return header(alloc, RST_STREAM_SIZE, RST_STREAM, 0, streamId).writeInt(code.ordinal());
    }

    static ByteBuf ping(ByteBufAllocator alloc, boolean ack, long content) {
        return header(alloc, PING_SIZE, PING, ack ? ACK : 0, 0).writeLong(content);
    }

    static ByteBuf windowUpdate(ByteBufAllocator alloc, int streamId, int increment) {
        return header(alloc, WINDOW_UPDATE_SIZE, WINDOW_UPDATE, 0, streamId).writeInt(increment);
    }

    static ByteBuf settingsAck(ByteBufAllocator alloc) {
        return header(alloc, 0, SETTINGS, ACK, 0);
    }

    /** {@return a SETTINGS frame of alternating identifiers and values} */
    static ByteBuf settings(ByteBufAllocator alloc, int... pairs) {
        ByteBuf frame = header(alloc, pairs.length / 2 * SETTING_SIZE, SETTINGS, 0, 0);
        for (int i = 0; i < pairs.length; i += 2) {
            frame.writeShort(pairs[i]).writeInt(pairs[i + 1]);
        }
        return frame;
    }

    static ByteBuf goAway(
            ByteBufAllocator alloc, int lastStreamId, ErrorCode code, String debugData) {
        byte[] text = debugData.getBytes(StandardCharsets.UTF_8);
        int textLength = Math.min(text.length, MAX_DEBUG_DATA);
        return header(alloc, GOAWAY_MIN_SIZE + textLength, GOAWAY, 0, 0)
                .writeInt(lastStreamId)
                .writeInt(code.ordinal())
                .writeBytes(text, 0, textLength);
    }
}
