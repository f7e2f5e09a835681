package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;

/**
 * Decodes lines that end with CR LF incrementally. A size limit applies to all lines since its last
 * reset.
 */
final class LineDecoder {
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
         * Checks a partial line. Called after each character.
         *
         * @param line the received part of the line, at least one character
         * @throws HttpDecodeException if it cannot become a valid line
         */
        void check(StringBuilder line) throws HttpDecodeException;
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

    /** {@return the next line without its line end, or null if more bytes are needed} */
    String next(ByteBuf in) throws HttpDecodeException {
        while (in.isReadable()) {
            char c = (char) in.readUnsignedByte();
            if (++receivedBytes > maxBytes) {
                throw new HttpDecodeException(
                        HttpDecodeException.HEADER_FIELDS_TOO_LARGE, limitMessage);
            }
            if (c == '\n') {
                return completeLine();
            }
            line.append(c);
            check.check(line);
        }
        return null;
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
