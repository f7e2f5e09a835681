package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * Splits a byte stream into frames. Buffers incomplete input, and checks the client's preface
 * before the first frame.
 */
final class FrameDecoder {
    private final FrameReader reader = new FrameReader(Frames.DEFAULT_FRAME_SIZE);
    private boolean prefaceExpected;
    private ByteBuf remainder = Unpooled.EMPTY_BUFFER;

    /**
     * Creates a decoder.
     *
     * @param prefaceExpected whether the peer is a client, which sends a preface before its first
     *     frame
     */
    FrameDecoder(boolean prefaceExpected) {
        this.prefaceExpected = prefaceExpected;
    }

    /**
     * {@return the buffered and the received bytes in one buffer, owned by the caller; takes
     * ownership of {@code received}}
     */
    ByteBuf join(ByteBufAllocator allocator, ByteBuf received) {
        if (!remainder.isReadable()) {
            return received;
        }
        ByteBuf joined = allocator.buffer(remainder.readableBytes() + received.readableBytes());
        joined.writeBytes(remainder).writeBytes(received);
        release();
        received.release();
        return joined;
    }

    /**
     * Reads the preface if it is still expected, then one frame.
     *
     * @param in the input; only a complete preface and a complete frame are consumed
     * @param listener receives the frame
     * @return whether a complete frame was read
     * @throws Http2Exception if the input is invalid or the listener rejects the frame
     */
    boolean decodeNext(ByteBuf in, FrameListener listener) throws Http2Exception {
        if (prefaceExpected && !readPreface(in)) {
            return false;
        }
        prefaceExpected = false;
        return reader.next(in, listener);
    }

    private static boolean readPreface(ByteBuf in) throws Http2Exception {
        int length = Math.min(in.readableBytes(), Frames.PREFACE.length());
        for (int i = 0; i < length; i++) {
            if (in.getByte(in.readerIndex() + i) != Frames.PREFACE.charAt(i)) {
                throw Http2Exception.connection(
                        ErrorCode.PROTOCOL_ERROR,
                        "no HTTP/2 preface: speak HTTP/2 with prior knowledge");
            }
        }
        if (length < Frames.PREFACE.length()) {
            return false;
        }
        in.skipBytes(length);
        return true;
    }

    /** Buffers the unread bytes until more input arrives; takes ownership of the buffer. */
    void keep(ByteBuf rest) {
        if (rest.isReadable()) {
            remainder = rest;
        } else {
            rest.release();
        }
    }

    /** Releases the buffered bytes. */
    void release() {
        remainder.release();
        remainder = Unpooled.EMPTY_BUFFER;
    }

    /** {@return the number of buffered bytes of an incomplete preface or frame} */
    int bufferedBytes() {
        return remainder.readableBytes();
    }

    /** {@return whether the preface has been read and no frame or header block is incomplete} */
    boolean isComplete() {
        return !remainder.isReadable() && reader.openHeaderBlockStreamId() == 0 && !prefaceExpected;
    }
}
