package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;

/**
 * Decodes lines that end with CR LF however their bytes are cut, within a limit that several lines
 * may share.
 */
final class LineDecoder {
    private final int maxBytes;
    private final String limitMessage;
    private final PartialLineCheck check;
    private final StringBuilder line = new StringBuilder();

    /** Since the limit was last reset. */
    private int receivedBytes;

    /**
     * Checks the part of a line that has arrived: noise need not hold a line feed, and nothing may
     * follow it.
     */
    interface PartialLineCheck {
        /**
         * Looks at a line that grew by a character.
         *
         * @param line what has arrived of it, at least one character
         * @throws HttpDecodeException where it cannot become a line that is expected here
         */
        void check(StringBuilder line) throws HttpDecodeException;
    }

    /**
     * Creates a decoder at the start of a line.
     *
     * @param maxBytes the limit, ends of lines included
     * @param limitMessage the error where it is exceeded
     * @param check is given each part of a line as it grows
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

    /** Lets the limit count from here. */
    void resetLimit() {
        receivedBytes = 0;
    }

    /** {@return the next line without its end, or null where more bytes are needed} */
    String next(ByteBuf in) throws HttpDecodeException {
        while (in.isReadable()) {
            char c = (char) in.readUnsignedByte();
            if (++receivedBytes > maxBytes) {
                throw new HttpDecodeException(
                        HttpDecodeException.HEADER_FIELDS_TOO_LARGE, limitMessage);
            }
            if (c == '\n') {
                return takeLine();
            }
            line.append(c);
            check.check(line);
        }
        return null;
    }

    private String takeLine() throws HttpDecodeException {
        int end = line.length() - 1;
        if (end < 0 || line.charAt(end) != '\r') {
            throw new HttpDecodeException("a line has to end with CR LF");
        }
        String text = line.substring(0, end);
        line.setLength(0);
        return text;
    }
}
