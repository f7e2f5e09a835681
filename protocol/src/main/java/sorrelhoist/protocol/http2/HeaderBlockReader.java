package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.hpack.HpackDecoder;
import sorrelhoist.protocol.hpack.HpackException;

/**
 * Joins the fragments of header blocks and decodes them. Every block is decoded, whatever becomes
 * of its stream: later blocks depend on the same table.
 */
final class HeaderBlockReader {
    private final HpackDecoder decoder;
    private final int maxBlockBytes;
    private ByteBuf openBlock;
    private boolean openBlockEndsStream;

    /**
     * Creates a reader.
     *
     * @param maxHeaderBytes bytes that a header block may have, coded or decoded
     */
    HeaderBlockReader(int maxHeaderBytes) {
        this.decoder = new HpackDecoder(HpackDecoder.DEFAULT_TABLE, maxHeaderBytes);
        this.maxBlockBytes = maxHeaderBytes;
    }

    /** Begins a block whose further fragments are to come. */
    void open(ByteBuf fragment, boolean endStream) {
        openBlockEndsStream = endStream;
        openBlock = fragment.alloc().buffer(fragment.readableBytes()).writeBytes(fragment);
    }

    /** Adds a fragment to the block that is open. */
    void append(ByteBuf fragment) throws Http2Exception {
        if (openBlock.readableBytes() + fragment.readableBytes() > maxBlockBytes) {
            throw Http2Exception.connection(
                    ErrorCode.ENHANCE_YOUR_CALM,
                    "a header block of more than " + maxBlockBytes + " bytes");
        }
        openBlock.writeBytes(fragment);
    }

    /** {@return whether the peer's side of the stream ends with the block that is open} */
    boolean openBlockEndsStream() {
        return openBlockEndsStream;
    }

    /** Ends the block that is open. {@return its fields} */
    Headers close() throws Http2Exception {
        ByteBuf complete = openBlock;
        openBlock = null;
        try {
            return decode(complete);
        } finally {
            complete.release();
        }
    }

    /** {@return the fields of a block that came in one piece} */
    Headers decode(ByteBuf block) throws Http2Exception {
        try {
            return decoder.decode(block);
        } catch (HpackException e) {
            ErrorCode code =
                    e.tooLarge() ? ErrorCode.ENHANCE_YOUR_CALM : ErrorCode.COMPRESSION_ERROR;
            throw Http2Exception.connection(code, e.getMessage());
        }
    }

    /** {@return bytes of the block that is open} */
    int bufferedBytes() {
        return openBlock == null ? 0 : openBlock.readableBytes();
    }

    /** Drops a block that is open. */
    void release() {
        if (openBlock != null) {
            openBlock.release();
            openBlock = null;
        }
    }
}
