package sorrelhoist.protocol.http2;

import static sorrelhoist.protocol.http2.Http2Exception.connection;

import io.netty.buffer.ByteBuf;

/**
 * Parses frames, and checks the rules of RFC 9113 section 6 that do not depend on the state of
 * streams or settings.
 */
final class FrameReader {
    private final int maxFrameSize;
    private int openHeaderBlockStreamId;

    FrameReader(int maxFrameSize) {
        this.maxFrameSize = maxFrameSize;
    }

    /** {@return the ID of the stream whose header block is incomplete, or 0} */
    int openHeaderBlockStreamId() {
        return openHeaderBlockStreamId;
    }

    /** Reads one frame if it is complete. {@return whether a frame was read} */
    boolean next(ByteBuf in, FrameListener listener) throws Http2Exception {
        if (in.readableBytes() < Frames.HEADER_SIZE) {
            return false;
        }
        int start = in.readerIndex();
        int length = in.getUnsignedMedium(start);
        int type = in.getUnsignedByte(start + 3);
        if (length > maxFrameSize) {
            throw connection(
                    ErrorCode.FRAME_SIZE_ERROR,
                    "frame of " + length + " bytes, " + maxFrameSize + " at most");
        }
        if (in.readableBytes() < Frames.HEADER_SIZE + length) {
            return false;
        }
        int flags = in.getUnsignedByte(start + 4);
        int streamId = in.getInt(start + 5) & Integer.MAX_VALUE;
        in.skipBytes(Frames.HEADER_SIZE);
        ByteBuf payload = in.readSlice(length);
        if (openHeaderBlockStreamId != 0
                && (type != Frames.CONTINUATION || streamId != openHeaderBlockStreamId)) {
            throw connection(
                    ErrorCode.PROTOCOL_ERROR, "a header block was left open by another frame");
        }
        dispatch(type, flags, streamId, payload, listener);
        return true;
    }

    private void dispatch(int type, int flags, int streamId, ByteBuf in, FrameListener listener)
            throws Http2Exception {
        switch (type) {
            case Frames.DATA -> data(flags, streamId, in, listener);
            case Frames.HEADERS -> headers(flags, streamId, in, listener);
            case Frames.CONTINUATION -> continuation(flags, streamId, in, listener);
            case Frames.PRIORITY -> {
                requireStream(streamId, "PRIORITY");
                requireLength(in, Frames.PRIORITY_SIZE, "PRIORITY");
                listener.onPriority(streamId);
            }
            case Frames.RST_STREAM -> {
                requireStream(streamId, "RST_STREAM");
                requireLength(in, Frames.RST_STREAM_SIZE, "RST_STREAM");
                listener.onReset(streamId, ErrorCode.of(in.readUnsignedInt()));
            }
            case Frames.SETTINGS -> settings(flags, streamId, in, listener);
            case Frames.PUSH_PROMISE ->
                    throw connection(ErrorCode.PROTOCOL_ERROR, "PUSH_PROMISE was never enabled");
            case Frames.PING -> {
                requireNoStream(streamId, "PING");
                requireLength(in, Frames.PING_SIZE, "PING");
                listener.onPing((flags & Frames.ACK) != 0, in.readLong());
            }
            case Frames.GOAWAY -> goAway(streamId, in, listener);
            case Frames.WINDOW_UPDATE -> {
                requireLength(in, Frames.WINDOW_UPDATE_SIZE, "WINDOW_UPDATE");
                listener.onWindowUpdate(streamId, in.readInt() & Integer.MAX_VALUE);
            }
            default -> listener.onUnknown(type);
        }
    }

    private static void data(int flags, int streamId, ByteBuf in, FrameListener listener)
            throws Http2Exception {
        requireStream(streamId, "DATA");
        int flowControlledBytes = in.readableBytes();
        ByteBuf payload = withoutPadding(in, flags);
        listener.onData(streamId, payload, flowControlledBytes, (flags & Frames.END_STREAM) != 0);
    }

    private void headers(int flags, int streamId, ByteBuf in, FrameListener listener)
            throws Http2Exception {
        requireStream(streamId, "HEADERS");
        ByteBuf fragment = withoutPadding(in, flags);
        if ((flags & Frames.HAS_PRIORITY) != 0) {
            skipPriority(fragment, streamId);
        }
        boolean endHeaders = (flags & Frames.END_HEADERS) != 0;
        openHeaderBlockStreamId = endHeaders ? 0 : streamId;
        listener.onHeaders(streamId, fragment, (flags & Frames.END_STREAM) != 0, endHeaders);
    }

    private void continuation(int flags, int streamId, ByteBuf in, FrameListener listener)
            throws Http2Exception {
        if (openHeaderBlockStreamId == 0) {
            throw connection(ErrorCode.PROTOCOL_ERROR, "CONTINUATION without an open header block");
        }
        boolean endHeaders = (flags & Frames.END_HEADERS) != 0;
        openHeaderBlockStreamId = endHeaders ? 0 : streamId;
        listener.onContinuation(streamId, in, endHeaders);
    }

    private static void settings(int flags, int streamId, ByteBuf in, FrameListener listener)
            throws Http2Exception {
        requireNoStream(streamId, "SETTINGS");
        if ((flags & Frames.ACK) != 0) {
            requireLength(in, 0, "SETTINGS with ACK");
            listener.onSettingsAck();
        } else if (in.readableBytes() % Frames.SETTING_SIZE != 0) {
            throw wrongSize(in, "SETTINGS");
        } else {
            listener.onSettings(in);
        }
    }

    private static void goAway(int streamId, ByteBuf in, FrameListener listener)
            throws Http2Exception {
        requireNoStream(streamId, "GOAWAY");
        if (in.readableBytes() < Frames.GOAWAY_MIN_SIZE) {
            throw wrongSize(in, "GOAWAY");
        }
        int lastStreamId = in.readInt() & Integer.MAX_VALUE;
        listener.onGoAway(lastStreamId, ErrorCode.of(in.readUnsignedInt()));
    }

    private static ByteBuf withoutPadding(ByteBuf in, int flags) throws Http2Exception {
        if ((flags & Frames.PADDED) == 0) {
            return in;
        }
        if (!in.isReadable()) {
            throw connection(ErrorCode.FRAME_SIZE_ERROR, "a padded frame without its pad length");
        }
        int padding = in.readUnsignedByte();
        if (padding > in.readableBytes()) {
            throw connection(
                    ErrorCode.PROTOCOL_ERROR,
                    "padding of " + padding + " is longer than the frame");
        }
        return in.readSlice(in.readableBytes() - padding);
    }

    private static void skipPriority(ByteBuf in, int streamId) throws Http2Exception {
        if (in.readableBytes() < Frames.PRIORITY_SIZE) {
            throw connection(ErrorCode.FRAME_SIZE_ERROR, "HEADERS without room for its priority");
        }
        int dependency = in.readInt() & Integer.MAX_VALUE;
        if (dependency == streamId) {
            throw connection(ErrorCode.PROTOCOL_ERROR, "stream " + streamId + " depends on itself");
        }
        in.skipBytes(1);
    }

    private static void requireStream(int streamId, String frame) throws Http2Exception {
        if (streamId == 0) {
            throw connection(ErrorCode.PROTOCOL_ERROR, frame + " on stream 0");
        }
    }

    private static void requireNoStream(int streamId, String frame) throws Http2Exception {
        if (streamId != 0) {
            throw connection(ErrorCode.PROTOCOL_ERROR, frame + " on stream " + streamId);
        }
    }

    private static void requireLength(ByteBuf in, int length, String frame) throws Http2Exception {
        if (in.readableBytes() != length) {
            throw wrongSize(in, frame);
        }
    }

    private static Http2Exception wrongSize(ByteBuf in, String frame) {
        return connection(
                ErrorCode.FRAME_SIZE_ERROR, frame + " of " + in.readableBytes() + " bytes");
    }
}
