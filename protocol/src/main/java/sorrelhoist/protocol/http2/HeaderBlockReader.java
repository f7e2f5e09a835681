package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.hpack.HpackDecoder;
import sorrelhoist.protocol.hpack.HpackException;

/**
 * Joins the fragments of header blocks and decodes them. Every block has to be decoded, even if its
 * stream is rejected, because later blocks depend on the same dynamic table.
 */
final class HeaderBlockReader {
    private final HpackDecoder decoder;
    private final int maxBlockBytes;
    private ByteBuf openBlock;
    private boolean openBlockEndsStream;

    /**
     * Creates a reader.
     *
     * @param maxHeaderBytes maximum size of a header block, encoded and decoded, in bytes
     */
    HeaderBlockReader(int maxHeaderBytes) {
        this.decoder = new HpackDecoder(HpackDecoder.DEFAULT_TABLE, maxHeaderBytes);
        this.maxBlockBytes = maxHeaderBytes;
    }

    /** Starts a block whose remaining fragments follow. */
    void open(ByteBuf fragment, boolean endStream) {
        openBlockEndsStream = endStream;
        openBlock = fragment.alloc().buffer(fragment.readableBytes()).writeBytes(fragment);
    }

    /** Appends a fragment to the incomplete block. */
    void append(ByteBuf fragment) throws Http2Exception {
        if (openBlock.readableBytes() + fragment.readableBytes() > maxBlockBytes) {
            throw Http2Exception.connection(
                    ErrorCode.ENHANCE_YOUR_CALM,
                    "a header block of more than " + maxBlockBytes + " bytes");
        }
        openBlock.writeBytes(fragment);
    }

    /** {@return whether the incomplete block ends the peer's side of the stream} */
    boolean openBlockEndsStream() {
        return openBlockEndsStream;
    }

    /** Completes and decodes the block. {@return its fields} */
    Headers close() throws Http2Exception {
        ByteBuf complete = openBlock;
        openBlock = null;
        try {
            return decode(complete);
        } finally {
            complete.release();
        }
    }

    /** {@return the fields of a complete block} */
    Headers decode(ByteBuf block) throws Http2Exception {
        try {
            return decoder.decode(block);
        } catch (HpackException e) {
            ErrorCode code =
                    e.tooLarge() ? ErrorCode.ENHANCE_YOUR_CALM : ErrorCode.COMPRESSION_ERROR;
            throw Http2Exception.connection(code, e.getMessage());
        }
    }

    /** {@return the number of buffered bytes of the incomplete block} */
    int bufferedBytes() {
        return openBlock == null ? 0 : openBlock.readableBytes();
    }

    /** Releases the incomplete block, if there is one. */
    void release() {
        if (openBlock != null) {
            openBlock.release();
            openBlock = null;
        }
    }
}
