package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * Cuts a byte stream into frames: keeps what is not complete until more comes, and checks the
 * client's preface ahead of the first frame.
 */
final class FrameDecoder {
    private final FrameReader reader = new FrameReader(Frames.DEFAULT_FRAME_SIZE);
    private boolean prefaceExpected;
    private ByteBuf remainder = Unpooled.EMPTY_BUFFER;

    /**
     * Creates a decoder.
     *
     * @param prefaceExpected whether the peer is a client, whose preface comes first
     */
    FrameDecoder(boolean prefaceExpected) {
        this.prefaceExpected = prefaceExpected;
    }

    /**
     * {@return the bytes kept from before and those received, in one buffer; takes ownership of
     * both}
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
     * Reads the preface if it is still due, then one frame.
     *
     * @param in read as far as it is complete
     * @param listener receives the frame
     * @return whether there was a complete frame
     * @throws Http2Exception where the bytes or the listener's state don't allow it
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

    /** Keeps what is left of a buffer until more bytes come. */
    void keep(ByteBuf rest) {
        if (rest.isReadable()) {
            remainder = rest;
        } else {
            rest.release();
        }
    }

    /** Releases the bytes that were kept. */
    void release() {
        remainder.release();
        remainder = Unpooled.EMPTY_BUFFER;
    }

    /** {@return bytes of an incomplete preface or frame} */
    int bufferedBytes() {
        return remainder.readableBytes();
    }

    /** {@return whether no preface, frame or header block has been begun and not ended} */
    boolean isComplete() {
        return !remainder.isReadable() && reader.openHeaderBlock() == 0 && !prefaceExpected;
    }
}
