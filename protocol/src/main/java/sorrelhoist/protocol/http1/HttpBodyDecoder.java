package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;

/**
 * Decodes the content of one message incrementally (RFC 9112, sections 6 and 7), without buffering
 * it.
 */
public final class HttpBodyDecoder {
    private enum State {
        FIXED_LENGTH,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        UNTIL_CLOSE,
        COMPLETE
    }

    /** Value of the declared length if the head does not declare one. */
    private static final long UNDECLARED = -1;

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Maximum total size of the lines between the data of two chunks, and of the trailers. */
    private static final int MAX_LINE_BYTES = 16 << 10;

    /**
     * Maximum number of hexadecimal digits in a chunk size, which limits a chunk to less than 256
     * MiB.
     */
    private static final int MAX_SIZE_DIGITS = 7;

    /** Maximum number of digits of content-length. */
    private static final int MAX_LENGTH_DIGITS = 9;

    private final long declaredLength;
    private final LineDecoder lines =
            new LineDecoder(
                    MAX_LINE_BYTES,
                    "more than " + MAX_LINE_BYTES + " bytes in place of a chunk",
                    this::checkPartialLine);
    private State state;

    /** Remaining bytes of the content, or of the current chunk. */
    private long remainingBytes;

    private HttpBodyDecoder(State state, long declaredLength) {
        this.state = state;
        this.declaredLength = declaredLength;
        this.remainingBytes = Math.max(0, declaredLength);
    }

    /**
     * Creates the decoder for the framing that a message's head declares.
     *
     * @param head the message's head
     * @return a decoder at the start of the content
     * @throws HttpDecodeException if the framing is ambiguous or invalid
     */
    public static HttpBodyDecoder forHead(HttpHead head) throws HttpDecodeException {
        String length = head.header("content-length");
        String coding = head.header("transfer-encoding");
        if (coding != null) {
            if (length != null || !coding.equalsIgnoreCase("chunked")) {
                throw new HttpDecodeException(
                        "transfer-encoding has to be chunked, without content-length");
            }
            return new HttpBodyDecoder(State.CHUNK_SIZE, UNDECLARED);
        }
        if (length != null) {
            return ofLength(length);
        }
        return hasNoContent(head.status())
                ? new HttpBodyDecoder(State.COMPLETE, 0)
                : new HttpBodyDecoder(State.UNTIL_CLOSE, UNDECLARED);
    }

    private static HttpBodyDecoder ofLength(String text) throws HttpDecodeException {
        if (text.isEmpty() || text.length() > MAX_LENGTH_DIGITS || !isDecimal(text)) {
            throw new HttpDecodeException("content-length is no number");
        }
        long length = Long.parseLong(text);
        return new HttpBodyDecoder(length == 0 ? State.COMPLETE : State.FIXED_LENGTH, length);
    }

    private static boolean isDecimal(String text) {
        return text.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    /**
     * {@return whether a message without a declared length has no content; the status of requests
     * is 0}
     */
    private static boolean hasNoContent(int status) {
        return status < 200 || status == NO_CONTENT || status == NOT_MODIFIED;
    }

    /** {@return the declared length of the content in bytes, or -1 if the head declares none} */
    public long declaredLength() {
        return declaredLength;
    }

    /** {@return the memory that is held for an incomplete line of the framing, in bytes} */
    public int heldBytes() {
        return lines.heldBytes();
    }

    /** {@return whether all of the content has arrived} */
    public boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** {@return whether the content ends when the connection is closed} */
    public boolean endsWithConnection() {
        return state == State.UNTIL_CLOSE;
    }

    /**
     * Decodes the next part of the content.
     *
     * @param in the received bytes
     * @return the next part, as a slice that is valid as long as {@code in}; null if more bytes are
     *     needed or the content is complete
     * @throws HttpDecodeException if the framing is invalid
     */
    public ByteBuf next(ByteBuf in) throws HttpDecodeException {
        while (state != State.COMPLETE && in.isReadable()) {
            switch (state) {
                case UNTIL_CLOSE -> {
                    return in.readSlice(in.readableBytes());
                }
                case FIXED_LENGTH -> {
                    return nextPart(in, State.COMPLETE);
                }
                case CHUNK_DATA -> {
                    return nextPart(in, State.CHUNK_END);
                }
                default -> {
                    String line = lines.next(in, state != State.TRAILERS);
                    if (line != null) {
                        decodeLine(line);
                    }
                }
            }
        }
        return null;
    }

    private ByteBuf nextPart(ByteBuf in, State atEnd) {
        int size = (int) Math.min(remainingBytes, in.readableBytes());
        remainingBytes -= size;
        if (remainingBytes == 0) {
            state = atEnd;
        }
        return in.readSlice(size);
    }

    private void checkPartialLine(StringBuilder line, int length) throws HttpDecodeException {
        char last = line.charAt(length - 1);
        if (state == State.CHUNK_SIZE && !mayBecomeSize(line, length)
                || state == State.CHUNK_END && last != '\r') {
            throw new HttpDecodeException("a chunk's size is no number, or does not fit");
        }
    }

    /**
     * {@return whether a partial line can still become a valid chunk size: hexadecimal digits,
     * optionally followed by white space or an extension}
     */
    private static boolean mayBecomeSize(StringBuilder line, int length) {
        int digits = 0;
        while (digits < length && isHexDigit(line.charAt(digits))) {
            digits++;
        }
        return digits > 0
                && digits <= MAX_SIZE_DIGITS
                && (digits == length || " \t;\r".indexOf(line.charAt(digits)) >= 0);
    }

    private static boolean isHexDigit(char c) {
        return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F';
    }

    private void decodeLine(String line) throws HttpDecodeException {
        if (state == State.CHUNK_SIZE) {
            remainingBytes = chunkSize(line);
            state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
            lines.resetLimit();
        } else if (state == State.CHUNK_END) {
            if (!line.isEmpty()) {
                throw new HttpDecodeException("a chunk is longer than it said");
            }
            state = State.CHUNK_SIZE;
        } else if (line.isEmpty()) {
            state = State.COMPLETE;
        }
    }

    private static long chunkSize(String line) throws HttpDecodeException {
        int semicolon = line.indexOf(';');
        String digits = (semicolon < 0 ? line : line.substring(0, semicolon)).strip();
        if (digits.isEmpty()
                || digits.length() > MAX_SIZE_DIGITS
                || !digits.chars().allMatch(c -> isHexDigit((char) c))) {
            throw new HttpDecodeException("a chunk's size is no number");
        }
        return Long.parseLong(digits, 16);
    }
}
