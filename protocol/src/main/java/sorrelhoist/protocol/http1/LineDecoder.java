package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Decodes lines that end with CR LF incrementally. A size limit applies to all lines since its last
 * reset.
 */
final class LineDecoder {
    /** Length, in characters, up to which incomplete lines are checked. */
    private static final int MAX_CHECKED_LENGTH = 16;

    private static final byte LINE_FEED = '\n';

    /** Maximum capacity, in bytes, that is kept for the next line. */
    private static final int MAX_RETAINED_CAPACITY = 256;

    private final int maxBytes;
    private final String limitMessage;
    private final PartialLineCheck check;
    private StringBuilder line = new StringBuilder();

    /** Bytes received since the limit was last reset. */
    private int receivedBytes;

    /**
     * Checks a line before it is complete. Invalid input may never contain a line feed, so that
     * without this check a caller waits for its timeout.
     */
    interface PartialLineCheck {
        /**
         * Checks a partial line. Called for each length up to {@link #MAX_CHECKED_LENGTH}.
         *
         * @param line starts with the partial line
         * @param length the length of the partial line, at least 1
         * @throws HttpDecodeException if it cannot become a valid line
         */
        void check(StringBuilder line, int length) throws HttpDecodeException;
    }

    /**
     * Creates a decoder at the start of a line.
     *
     * @param maxBytes maximum number of bytes between resets, including line ends
     * @param limitMessage error message if the limit is exceeded
     * @param check checks partial lines
     */
    LineDecoder(int maxBytes, String limitMessage, PartialLineCheck check) {
        this.maxBytes = maxBytes;
        this.limitMessage = limitMessage;
        this.check = check;
    }

    /** {@return whether bytes have arrived since the limit was last reset} */
    boolean hasReceivedBytes() {
        return receivedBytes > 0;
    }

    /** {@return the memory that is held for an incomplete line, in bytes} */
    int heldBytes() {
        return line.capacity();
    }

    /** Drops an incomplete line. */
    void discard() {
        line = new StringBuilder();
    }

    /** Resets the number of bytes that count towards the limit. */
    void resetLimit() {
        receivedBytes = 0;
    }

    /**
     * Decodes the next line.
     *
     * @param in the received bytes
     * @param checked whether the start of the line is checked before the line is complete
     * @return the line without its line end, or null if more bytes are needed
     */
    String next(ByteBuf in, boolean checked) throws HttpDecodeException {
        int lineFeed = in.indexOf(in.readerIndex(), in.writerIndex(), LINE_FEED);
        int length = (lineFeed < 0 ? in.writerIndex() : lineFeed) - in.readerIndex();
        count(length);
        int start = line.length();
        line.append(in.readCharSequence(length, StandardCharsets.ISO_8859_1));
        if (checked) {
            checkStart(start);
        }
        if (lineFeed < 0) {
            return null;
        }
        in.skipBytes(1);
        count(1);
        return completeLine();
    }

    private void count(int bytes) throws HttpDecodeException {
        receivedBytes += bytes;
        if (receivedBytes > maxBytes) {
            throw new HttpDecodeException(
                    HttpDecodeException.HEADER_FIELDS_TOO_LARGE, limitMessage);
        }
    }

    /** Checks the line as it was after each of its first characters, beginning at an index. */
    private void checkStart(int from) throws HttpDecodeException {
        int checkedLength = Math.min(line.length(), MAX_CHECKED_LENGTH);
        for (int length = from + 1; length <= checkedLength; length++) {
            check.check(line, length);
        }
    }

    private String completeLine() throws HttpDecodeException {
        int end = line.length() - 1;
        if (end < 0 || line.charAt(end) != '\r') {
            throw new HttpDecodeException("a line has to end with CR LF");
        }
        String text = line.substring(0, end);
        if (line.capacity() > MAX_RETAINED_CAPACITY) {
            discard();
        } else {
            line.setLength(0);
        }
        return text;
    }
}
