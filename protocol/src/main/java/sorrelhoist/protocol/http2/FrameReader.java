package sorrelhoist.protocol.http2;

import static sorrelhoist.protocol.http2.Http2Exception.connection;

import io.netty.buffer.ByteBuf;

/**
 * Cuts frames out of bytes and checks what a frame alone can be checked for (RFC 9113 section 6).
 */
final class FrameReader {
    /** What becomes of frames, in their order. Payloads are valid during the call only. */
    interface Sink {
        void data(int stream, ByteBuf payload, int flowBytes, boolean end) throws Http2Exception;

        void headers(int stream, ByteBuf fragment, boolean end, boolean whole)
                throws Http2Exception;

        void continuation(int stream, ByteBuf fragment, boolean whole) throws Http2Exception;

        void priority(int stream) throws Http2Exception;

        void reset(int stream, ErrorCode code) throws Http2Exception;

        void settings(ByteBuf pairs) throws Http2Exception;

        void settingsAck() throws Http2Exception;

        void ping(boolean ack, long content) throws Http2Exception;

        void goAway(int lastStream, ErrorCode code) throws Http2Exception;

        void windowUpdate(int stream, int bytes) throws Http2Exception;

        void unknown(int type) throws Http2Exception;
    }

    private final int maxFrame;
    private int headersOf;

    FrameReader(int maxFrame) {
        this.maxFrame = maxFrame;
    }

    /** {@return the stream whose header block is open, or 0} */
    int openBlock() {
        return headersOf;
    }

    /** Takes one frame if it is whole. {@return whether it was} */
    boolean next(ByteBuf in, Sink sink) throws Http2Exception {
        if (in.readableBytes() < Frames.HEADER) {
            return false;
        }
        int start = in.readerIndex();
        int length = in.getUnsignedMedium(start);
        int type = in.getUnsignedByte(start + 3);
        if (length > maxFrame) {
            throw connection(
                    ErrorCode.FRAME_SIZE_ERROR,
                    "frame of " + length + " bytes, " + maxFrame + " at most");
        }
        if (in.readableBytes() < Frames.HEADER + length) {
            return false;
        }
        int flags = in.getUnsignedByte(start + 4);
        int stream = in.getInt(start + 5) & Integer.MAX_VALUE;
        in.skipBytes(Frames.HEADER);
        ByteBuf payload = in.readSlice(length);
        if (headersOf != 0 && (type != Frames.CONTINUATION || stream != headersOf)) {
            throw connection(
                    ErrorCode.PROTOCOL_ERROR, "a header block was left open by another frame");
        }
        take(type, flags, stream, payload, sink);
        return true;
    }

    private void take(int type, int flags, int stream, ByteBuf in, Sink sink)
            throws Http2Exception {
        switch (type) {
            case Frames.DATA -> {
                needStream(stream, "DATA");
                int flow = in.readableBytes();
                sink.data(stream, unpad(in, flags), flow, (flags & Frames.END_STREAM) != 0);
            }
            case Frames.HEADERS -> {
                needStream(stream, "HEADERS");
                ByteBuf body = unpad(in, flags);
                if ((flags & Frames.HAS_PRIORITY) != 0) {
                    dependency(body, stream);
                }
                boolean whole = (flags & Frames.END_HEADERS) != 0;
                headersOf = whole ? 0 : stream;
                sink.headers(stream, body, (flags & Frames.END_STREAM) != 0, whole);
            }
            case Frames.CONTINUATION -> {
                if (headersOf == 0) {
                    throw connection(
                            ErrorCode.PROTOCOL_ERROR, "CONTINUATION without an open header block");
                }
                boolean whole = (flags & Frames.END_HEADERS) != 0;
                headersOf = whole ? 0 : stream;
                sink.continuation(stream, in, whole);
            }
            case Frames.PRIORITY -> {
                needStream(stream, "PRIORITY");
                needLength(in, 5, "PRIORITY");
                sink.priority(stream);
            }
            case Frames.RST_STREAM -> {
                needStream(stream, "RST_STREAM");
                needLength(in, 4, "RST_STREAM");
                sink.reset(stream, ErrorCode.of(in.readUnsignedInt()));
            }
            case Frames.SETTINGS -> settings(flags, stream, in, sink);
            case Frames.PUSH_PROMISE ->
                    throw connection(ErrorCode.PROTOCOL_ERROR, "PUSH_PROMISE was never enabled");
            case Frames.PING -> {
                needNoStream(stream, "PING");
                needLength(in, 8, "PING");
                sink.ping((flags & Frames.ACK) != 0, in.readLong());
            }
            case Frames.GOAWAY -> {
                needNoStream(stream, "GOAWAY");
                if (in.readableBytes() < 8) {
                    throw connection(
                            ErrorCode.FRAME_SIZE_ERROR,
                            "GOAWAY of " + in.readableBytes() + " bytes");
                }
                sink.goAway(in.readInt() & Integer.MAX_VALUE, ErrorCode.of(in.readUnsignedInt()));
            }
            case Frames.WINDOW_UPDATE -> {
                needLength(in, 4, "WINDOW_UPDATE");
                sink.windowUpdate(stream, in.readInt() & Integer.MAX_VALUE);
            }
            default -> sink.unknown(type);
        }
    }

    private static void settings(int flags, int stream, ByteBuf in, Sink sink)
            throws Http2Exception {
        needNoStream(stream, "SETTINGS");
        if ((flags & Frames.ACK) != 0) {
            needLength(in, 0, "SETTINGS with ACK");
            sink.settingsAck();
        } else if (in.readableBytes() % 6 != 0) {
            throw connection(
                    ErrorCode.FRAME_SIZE_ERROR, "SETTINGS of " + in.readableBytes() + " bytes");
        } else {
            sink.settings(in);
        }
    }

    private static ByteBuf unpad(ByteBuf in, int flags) throws Http2Exception {
        if ((flags & Frames.PADDED) == 0) {
            return in;
        }
        if (!in.isReadable()) {
            throw connection(ErrorCode.FRAME_SIZE_ERROR, "a padded frame without its pad length");
        }
        int pad = in.readUnsignedByte();
        if (pad > in.readableBytes()) {
            throw connection(
                    ErrorCode.PROTOCOL_ERROR, "padding of " + pad + " is longer than the frame");
        }
        return in.readSlice(in.readableBytes() - pad);
    }

    private static void dependency(ByteBuf in, int stream) throws Http2Exception {
        if (in.readableBytes() < 5) {
            throw connection(ErrorCode.FRAME_SIZE_ERROR, "HEADERS without room for its priority");
        }
        if ((in.readInt() & Integer.MAX_VALUE) == stream) {
            throw connection(ErrorCode.PROTOCOL_ERROR, "stream " + stream + " depends on itself");
        }
        in.skipBytes(1);
    }

    private static void needStream(int stream, String what) throws Http2Exception {
        if (stream == 0) {
            throw connection(ErrorCode.PROTOCOL_ERROR, what + " on stream 0");
        }
    }

    private static void needNoStream(int stream, String what) throws Http2Exception {
        if (stream != 0) {
            throw connection(ErrorCode.PROTOCOL_ERROR, what + " on stream " + stream);
        }
    }

    private static void needLength(ByteBuf in, int length, String what) throws Http2Exception {
        if (in.readableBytes() != length) {
            throw connection(
                    ErrorCode.FRAME_SIZE_ERROR, what + " of " + in.readableBytes() + " bytes");
        }
    }
}
