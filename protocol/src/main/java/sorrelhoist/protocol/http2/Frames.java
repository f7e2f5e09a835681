package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** Frame layouts of RFC 9113 sections 4 and 6: numbers, and the writing of frames. */
final class Frames {
    static final int HEADER = 9;
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

    static final int DEFAULT_FRAME = 16 << 10;
    static final int DEFAULT_WINDOW = 65_535;
    static final String PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

    private Frames() {}

    static ByteBuf header(
            ByteBufAllocator alloc, int length, int type, int flags, int stream, int room) {
        return alloc.buffer(HEADER + room)
                .writeMedium(length)
                .writeByte(type)
                .writeByte(flags)
                .writeInt(stream);
    }

    static ByteBuf rst(ByteBufAllocator alloc, int stream, ErrorCode code) {
        return header(alloc, 4, RST_STREAM, 0, stream, 4).writeInt(code.ordinal());
    }

    static ByteBuf ping(ByteBufAllocator alloc, boolean ack, long content) {
        return header(alloc, 8, PING, ack ? ACK : 0, 0, 8).writeLong(content);
    }

    static ByteBuf windowUpdate(ByteBufAllocator alloc, int stream, int bytes) {
        return header(alloc, 4, WINDOW_UPDATE, 0, stream, 4).writeInt(bytes);
    }

    static ByteBuf settingsAck(ByteBufAllocator alloc) {
        return header(alloc, 0, SETTINGS, ACK, 0, 0);
    }

    /** Pairs of a setting's number and value. */
    static ByteBuf settings(ByteBufAllocator alloc, int... pairs) {
        ByteBuf out = header(alloc, pairs.length * 3, SETTINGS, 0, 0, pairs.length * 3);
        for (int i = 0; i < pairs.length; i += 2) {
            out.writeShort(pairs[i]).writeInt(pairs[i + 1]);
        }
        return out;
    }

    static ByteBuf goAway(ByteBufAllocator alloc, int lastStream, ErrorCode code, String why) {
        byte[] text = why.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        int length = Math.min(text.length, 256);
        return header(alloc, 8 + length, GOAWAY, 0, 0, 8 + length)
                .writeInt(lastStream)
                .writeInt(code.ordinal())
                .writeBytes(text, 0, length);
    }
}
